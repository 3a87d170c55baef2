package org.mimosahinge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.document.DocumentValidator;
import org.mimosahinge.api.document.ProblemLocator;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.api.document.SettingsParser;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.Problem;

/** Validates section and settings files without a daemon. */
final class FileChecks {
    private FileChecks() {}

    /**
     * A section file.
     *
     * @param path path of the file
     * @param json content of the file
     * @param section the section parsed from the content
     */
    record SectionFile(String path, byte[] json, Section section) {}

    /**
     * JSON output of {@code check}.
     *
     * @param ok the files without problems
     */
    record CheckResult(List<String> ok) {}

    /** Parses the content of one file and throws {@link InvalidDocumentException} if it is invalid. */
    private interface FileParser {
        void parse(String file, byte[] json);
    }

    static void check(Invocation invocation) {
        if (invocation.options().has("together") && invocation.options().has("settings")) {
            throw new UsageException("--together and --settings exclude each other");
        }
        List<Problem> problems = new ArrayList<>();
        Map<String, SectionFile> sections = new LinkedHashMap<>();
        FileParser parser = invocation.options().has("settings")
                ? SettingsParser::parse
                : (file, json) -> addSection(new SectionFile(file, json, SectionParser.parse(file, json)), sections);
        for (String file : invocation.arguments()) {
            byte[] json = read(file);
            try {
                parser.parse(file, json);
            } catch (InvalidDocumentException e) {
                problems.addAll(e.problems());
            }
        }
        if (invocation.options().has("together")) {
            problems.addAll(validateTogether(sections));
        }
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems);
        }
        invocation
                .output()
                .accept(new Report(
                        new CheckResult(invocation.arguments()),
                        invocation.arguments().stream()
                                .map(file -> file + ": ok")
                                .toList()));
    }

    static SectionFile readSection(String file) {
        byte[] json = read(file);
        return new SectionFile(file, json, SectionParser.parse(file, json));
    }

    private static void addSection(SectionFile file, Map<String, SectionFile> sections) {
        SectionFile existing = sections.putIfAbsent(file.section().team(), file);
        if (existing != null) {
            Problem problem = new Problem(
                    ErrorCode.DUPLICATE_NAME,
                    file.path(),
                    0,
                    0,
                    "team",
                    "\"" + file.section().team() + "\"",
                    "a team other than that of " + existing.path());
            throw new InvalidDocumentException(ProblemLocator.locate(file.path(), file.json(), List.of(problem)));
        }
    }

    private static List<Problem> validateTogether(Map<String, SectionFile> sections) {
        Map<String, Section> sectionsByTeam = new LinkedHashMap<>();
        sections.forEach((team, file) -> sectionsByTeam.put(team, file.section()));
        List<Problem> problems = DocumentValidator.validate(sectionsByTeam);
        return sections.entrySet().stream()
                .flatMap(entry -> ProblemLocator.locate(
                        entry.getValue().path(),
                        entry.getValue().json(),
                        problems.stream()
                                .filter(problem -> problem.file().equals(entry.getKey()))
                                .toList())
                        .stream())
                .toList();
    }

    private static byte[] read(String file) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new UsageException("Cannot read " + file + ": " + e);
        }
    }
}
