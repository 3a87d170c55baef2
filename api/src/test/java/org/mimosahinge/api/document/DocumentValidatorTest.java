package org.mimosahinge.api.document;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.error.Problem;

class DocumentValidatorTest {
    private static final String LEDGER_SECTION =
            """
            {"team": "ledger",
             "resources": ["balances"],
             "services": [{"name": "ledger", "versions": ["v1"], "current": "v1"}],
             "routes": [{"name": "confirm",
                         "pathPrefix": "/confirm", "service": "ledger", "callClass": "confirmation",
                         "timeout": "5s", "atMostOnce": true,
                         "resources": ["balances", "listing-index"]}]}
            """;

    static Stream<InputMutation> changes() {
        return Stream.of(
                InputMutation.of("nothing", "\"ledger\"", "\"ledger\""),
                InputMutation.of(
                        "dangling route",
                        "\"service\": \"ledger\"",
                        "\"service\": \"ledgr\"",
                        "5 dangling_reference routes[0].service"),
                InputMutation.of(
                        "dangling resource",
                        "\"listing-index\"",
                        "\"index\"",
                        "7 dangling_reference routes[0].resources"),
                InputMutation.of(
                        "service of another team",
                        "{\"name\": \"ledger\"",
                        "{\"name\": \"listings\"",
                        "3 duplicate_name services[0].name",
                        "5 dangling_reference routes[0].service"),
                InputMutation.of(
                        "prefix of another team", "/confirm", "/listings", "5 duplicate_name routes[0].pathPrefix"),
                InputMutation.of(
                        "section under another team's name",
                        "\"team\": \"ledger\"",
                        "\"team\": \"archive\"",
                        "1 invalid_value team"));
    }

    /** Guards against a candidate in which a route points at nothing or two sections claim the same. */
    @ParameterizedTest
    @MethodSource("changes")
    void checksAllSectionsTogether(InputMutation change) {
        byte[] changed = TestDocuments.utf8(change.apply(LEDGER_SECTION));
        List<Problem> problems = DocumentValidator.validate(Map.of(
                "a-listings-owner-sorts-first",
                SectionParser.parse(
                        "l",
                        TestDocuments.utf8(TestDocuments.SECTION.replace(
                                "\"team\": \"listings\"", "\"team\": \"a-listings-owner-sorts-first\""))),
                "ledger",
                SectionParser.parse("ledger.json", changed)));
        assertEquals(
                change.expectedProblems(),
                InputMutation.summaries(ProblemLocator.locate("ledger.json", changed, problems)));
    }
}
