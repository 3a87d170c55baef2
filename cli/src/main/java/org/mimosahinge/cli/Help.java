package org.mimosahinge.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Text printed by {@code --help}. */
final class Help {
    private Help() {}

    static List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("Usage: mimosahinge VERB [ARGUMENTS] [OPTIONS]");
        lines.add("");
        lines.add("Verbs:");
        for (Verb verb : Verbs.ALL) {
            lines.add("  " + (verb.name() + " " + verb.argumentSyntax()).strip());
            lines.add("      " + verb.summary());
        }
        lines.addAll(
                """

                Options:
                  --node HOST:PORT   operator port of any daemon (default 127.0.0.1:9090)
                  --output FORMAT    text or json (default text); json prints one object per line
                  --timeout TIME     limit of the whole command, such as 500ms, 10s or 1m
                                     (default 10s; watch runs without limit)
                  --help             this text

                Example of a change:
                  mimosahinge document listings > listings.json   # the first line names the revision
                  mimosahinge document --output json > in-force.json
                  mimosahinge check listings.json --against in-force.json
                  mimosahinge submit listings.json --base 3 --wait

                Exit codes:"""
                        .lines()
                        .toList());
        Arrays.stream(ExitCode.values())
                .map(code -> "  " + code.status() + "  " + code.meaning())
                .forEach(lines::add);
        return lines;
    }
}
