package org.mimosahinge.api.error;

/**
 * A problem found while parsing or validating a document or settings file.
 *
 * @param code error code
 * @param file name of the file or submission
 * @param line line number starting at 1; 0 if unknown
 * @param column column number starting at 1; 0 if unknown
 * @param path path of the value in the document, such as {@code routes[0].timeout}
 * @param found the value found
 * @param expected description of the allowed values
 */
public record Problem(ErrorCode code, String file, int line, int column, String path, String found, String expected) {

    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + code.code() + " at " + path + ": found " + found
                + ", expected " + expected;
    }
}
