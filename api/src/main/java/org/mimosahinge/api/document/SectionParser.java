package org.mimosahinge.api.document;

import java.util.Optional;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.document.Cursor.ValueReader;

/** Parses sections and writes them in canonical form. */
public final class SectionParser {
    private SectionParser() {}

    /**
     * Parses and validates a section independently of other sections.
     *
     * @param file name of the file or submission, reported with problems
     * @param json JSON with comments in UTF-8
     * @return the section
     * @throws org.mimosahinge.api.error.InvalidDocumentException if the section is invalid, with all problems found
     */
    public static Section parse(String file, byte[] json) {
        return parse(file, json, SectionReader.SECTION);
    }

    /**
     * Writes a section in canonical form. Parsing the result returns an equal section.
     *
     * @param section the section
     * @return JSON in UTF-8
     */
    public static byte[] toJson(Section section) {
        return SectionWriter.write(section);
    }

    static <T> T parse(String file, byte[] json, ValueReader<T> reader) {
        Problems problems = new Problems(file);
        Optional<T> result =
                JsonTreeReader.read(json, problems).flatMap(root -> reader.read(new Cursor(root, "", problems)));
        problems.throwIfAny();
        return result.orElseThrow();
    }
}
