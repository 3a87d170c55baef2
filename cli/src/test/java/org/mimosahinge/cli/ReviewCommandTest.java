package org.mimosahinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.api.operator.DocumentView;
import org.mimosahinge.api.operator.OperatorJson;

/** Guards against sections that are submitted although a part of them cannot work as their author wants. */
class ReviewCommandTest {

    private static final String SHOP =
            """
            {"team": "shop",
             "services": [{"name": "shop", "versions": ["v1"], "current": "v1"}],
             "routes": [{"name": "r", "pathPrefix": "/r", "service": "shop", "callClass": "batch", "timeout": "1s"}]}
            """;
    private static final String PARTNERS =
            "{\"team\": \"partners\", \"organisations\": [{\"name\": \"press\", \"keys\": [\"press-key\"]}]}";

    @TempDir
    private Path folder;

    @BeforeEach
    void writeFiles() throws IOException {
        write("shop.json", SHOP);
        write("partners.json", PARTNERS);
        write("no-key.json", PARTNERS.replace("\"press-key\"", ""));
        write("tight.json", PARTNERS.replace("\"name\"", "\"rate\": 0.5, \"name\""));
        write("same-key.json", PARTNERS.replace("partners", "others").replace("press\"", "radio\""));
        write("route.json", "{\"team\": \"other\", \"routes\": [" + routeOf("other", "/other", "shop") + "]}");
        write("unknown.json", "{\"team\": \"other\", \"routes\": [" + routeOf("other", "/other", "shp") + "]}");
        write("idle.json", "{\"team\": \"idle\", \"services\": [" + serviceOf("idle") + "]}");
        write("limits.json", SHOP.replace("\"current\"", "\"limits\": {\"queue\": 9}, \"current\""));
        write("broken.json", "{\"team\": \"x\", \"organisations\": [{\"name\": \"\"}]}");
        DocumentView.SectionView shop = new DocumentView.SectionView(
                "shop", 3, SectionParser.parse("shop.json", SHOP.getBytes(StandardCharsets.UTF_8)));
        Files.write(folder.resolve("in-force.json"), OperatorJson.encode(new DocumentView(7, List.of(shop))));
    }

    private static String serviceOf(String name) {
        return "{\"name\": \"" + name + "\", \"versions\": [\"v1\"], \"current\": \"v1\"}";
    }

    private static String routeOf(String name, String prefix, String service) {
        return "{\"name\": \"" + name + "\", \"pathPrefix\": \"" + prefix + "\", \"service\": \"" + service
                + "\", \"callClass\": \"batch\", \"timeout\": \"1s\"}";
    }

    private void write(String file, String content) throws IOException {
        Files.writeString(folder.resolve(file), content);
    }

    private CommandResult run(String command) {
        return CommandResult.run(Arrays.stream(("check " + command).split(" "))
                .map(word -> word.endsWith(".json") ? folder.resolve(word).toString() : word)
                .toArray(String[]::new));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '`',
            value = {
                "shop.json --review; ; 0",
                "idle.json --review; ; 0",
                "route.json --review; ; 0",
                "shop.json --against in-force.json; ; 0",
                "no-key.json --review; warning organisation press: it has no API key; 1",
                "tight.json --review; warning organisation press: its rate and burst together; 1",
                "shop.json idle.json --together --review; warning service idle: no route leads to it; 1",
                "idle.json --against in-force.json; warning service idle: no route leads to it|ADDED service idle; 1",
                "partners.json --against in-force.json; ADDED organisation press; 0",
                "tight.json --against partners.json; warning organisation press: its rate|CHANGED organisation press; 1",
                "limits.json --against in-force.json; CHANGED service shop; 0",
                "route.json --against in-force.json; ADDED route other/other; 0",
                "partners.json --together --against in-force.json; ADDED organisation press|REMOVED route shop/r|REMOVED service shop; 0",
                "broken.json shop.json --review; error broken.json:1:42: invalid_value at organisations[0].name; 2",
                "shop.json --against broken.json; error broken.json:1:42: invalid_value at organisations[0].name; 2",
                "partners.json same-key.json --review; error partners.json:1:40: duplicate_name at organisations[0]; 2",
                "unknown.json --against in-force.json; error unknown.json:1:83: dangling_reference at routes[0].service; 2"
            })
    void findsErrorsWarningsAndDifferences(String command, String expected, int status) {
        CommandResult result = run(command);
        assertEquals("", result.err());
        List<String> lines =
                result.out().lines().map(line -> line.replace(folder + "/", "")).toList();
        List<String> starts = expected == null ? List.of() : List.of(expected.split("\\|"));
        assertEquals(starts.size(), lines.size(), result.out());
        for (int i = 0; i < starts.size(); i++) {
            assertTrue(lines.get(i).startsWith(starts.get(i)), result.out());
        }
        assertEquals(status, result.exit().status());
    }

    /** Guards against a form of the findings that scripts cannot read. */
    @Test
    void reportsFindingsAsJson() {
        CommandResult result = run("tight.json --against partners.json --output json");
        assertEquals(
                "{\"errors\":[],\"warnings\":[{\"concern\":\"contradiction\",\"entry\":\"organisation press\","
                        + "\"text\":\"its rate and burst together never allow a whole call\"}],"
                        + "\"changes\":[{\"entry\":\"organisation press\",\"change\":\"changed\"}]}",
                result.out().strip());
        assertEquals(ExitCode.REVIEW_WARNINGS, result.exit());
    }
}
