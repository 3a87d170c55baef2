package org.mimosahinge.api.document;

import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mimosahinge.api.error.Problem;

/** Adds line and column numbers to problems that were found after a section was parsed. */
public final class ProblemLocator {
    private static final Pattern PATH_STEP = Pattern.compile("\\[([0-9]+)]|([^.\\[]+)");

    private ProblemLocator() {}

    /**
     * Locates problems in the source text of a section.
     *
     * @param file name of the file or submission
     * @param json source text of the section
     * @param problems problems of the section
     * @return the problems with file, line and column; line and column are 0 if the text does not contain the path
     */
    public static List<Problem> locate(String file, byte[] json, List<Problem> problems) {
        Optional<Cursor> root =
                JsonTreeReader.read(json, new Problems(file)).map(value -> new Cursor(value, "", new Problems(file)));
        return problems.stream()
                .map(problem -> {
                    Location location = root.flatMap(cursor -> find(cursor, problem.path()))
                            .map(cursor -> cursor.value().location())
                            .orElse(new Location(0, 0));
                    return new Problem(
                            problem.code(),
                            file,
                            location.line(),
                            location.column(),
                            problem.path(),
                            problem.found(),
                            problem.expected());
                })
                .toList();
    }

    private static Optional<Cursor> find(Cursor root, String path) {
        Optional<Cursor> cursor = Optional.of(root);
        Matcher steps = PATH_STEP.matcher(path);
        while (steps.find()) {
            String index = steps.group(1);
            String name = steps.group(2);
            cursor = cursor.flatMap(parent -> index == null
                    ? parent.members(name).stream().findFirst()
                    : parent.items()
                            .flatMap(items ->
                                    items.stream().skip(Long.parseLong(index)).findFirst()));
        }
        return cursor;
    }
}
