package org.mimosahinge.api.error;

/**
 * One finding of a check of a document or settings file.
 *
 * @param code the stable code
 * @param file the file or submission that was checked
 * @param line the line, from 1; 0 when unknown
 * @param column the column, from 1; 0 when unknown
 * @param path the place in the document, such as {@code routes[0].timeout}
 * @param found what stands there
 * @param expected what may stand there
 */
public record Problem(ErrorCode code, String file, int line, int column, String path, String found, String expected) {

    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + code.code() + " at " + path + ": found " + found
                + ", expected " + expected;
    }
}
