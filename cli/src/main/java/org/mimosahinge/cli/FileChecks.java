package org.mimosahinge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
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
        if (invocation.options().has("review") || invocation.options().has("against")) {
            if (invocation.options().has("settings")) {
                throw new UsageException("--settings excludes --review and --against");
            }
            ReviewCommand.review(invocation);
            return;
        }
        List<Problem> problems = new ArrayList<>();
        Map<String, SectionFile> sections = new LinkedHashMap<>();
        FileParser parser = invocation.options().has("settings")
                ? SettingsParser::parse
                : (file, json) -> addSection(new SectionFile(file, json, SectionParser.parse(file, json)), sections);
        parse(invocation.arguments(), parser, problems);
        if (invocation.options().has("together")) {
            problems.addAll(validateTogether(sections(sections), sections));
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

    private static void parse(List<String> files, FileParser parser, List<Problem> problems) {
        for (String file : files) {
            byte[] json = read(file);
            try {
                parser.parse(file, json);
            } catch (InvalidDocumentException e) {
                problems.addAll(e.problems());
            }
        }
    }

    /** Reads sections by team and collects the problems of those that are invalid. */
    static Map<String, SectionFile> readSections(List<String> files, List<Problem> problems) {
        Map<String, SectionFile> sections = new LinkedHashMap<>();
        parse(
                files,
                (file, json) -> addSection(new SectionFile(file, json, SectionParser.parse(file, json)), sections),
                problems);
        return sections;
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

    private static Map<String, Section> sections(Map<String, SectionFile> files) {
        Map<String, Section> sections = new LinkedHashMap<>();
        files.forEach((team, file) -> sections.put(team, file.section()));
        return sections;
    }

    /**
     * Validates a document.
     *
     * @param sections all sections by team
     * @param files the sections that come from files, in which problems are located
     */
    static List<Problem> validateTogether(Map<String, Section> sections, Map<String, SectionFile> files) {
        return DocumentValidator.validate(sections).stream()
                .flatMap(problem -> files.containsKey(problem.file())
                        ? locate(files.get(problem.file()), problem).stream()
                        : Stream.of(problem))
                .toList();
    }

    private static List<Problem> locate(SectionFile file, Problem problem) {
        return ProblemLocator.locate(file.path(), file.json(), List.of(problem));
    }

    static byte[] read(String file) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new UsageException("Cannot read " + file + ": " + e);
        }
    }
}
