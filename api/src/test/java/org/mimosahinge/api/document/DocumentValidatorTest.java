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

    static Stream<InputMutation> mutations() {
        return Stream.of(
                InputMutation.of("no change", "\"ledger\"", "\"ledger\""),
                InputMutation.of(
                        "route to an unknown service",
                        "\"service\": \"ledger\"",
                        "\"service\": \"ledgr\"",
                        "5 dangling_reference routes[0].service"),
                InputMutation.of(
                        "unknown resource",
                        "\"listing-index\"",
                        "\"index\"",
                        "7 dangling_reference routes[0].resources"),
                InputMutation.of(
                        "service name used by another team",
                        "{\"name\": \"ledger\"",
                        "{\"name\": \"listings\"",
                        "3 duplicate_name services[0].name",
                        "5 dangling_reference routes[0].service"),
                InputMutation.of(
                        "path prefix used by another team",
                        "/confirm",
                        "/listings",
                        "5 duplicate_name routes[0].pathPrefix"),
                InputMutation.of(
                        "section with the name of another team",
                        "\"team\": \"ledger\"",
                        "\"team\": \"archive\"",
                        "1 invalid_value team"));
    }

    /** Guards against accepting a document with dangling references or names that two sections define. */
    @ParameterizedTest
    @MethodSource("mutations")
    void checksAllSectionsTogether(InputMutation mutation) {
        byte[] changed = TestDocuments.utf8(mutation.apply(LEDGER_SECTION));
        List<Problem> problems = DocumentValidator.validate(Map.of(
                "a-listings-owner-sorts-first",
                SectionParser.parse(
                        "l",
                        TestDocuments.utf8(TestDocuments.SECTION.replace(
                                "\"team\": \"listings\"", "\"team\": \"a-listings-owner-sorts-first\""))),
                "ledger",
                SectionParser.parse("ledger.json", changed)));
        assertEquals(
                mutation.expectedProblems(),
                InputMutation.summaries(ProblemLocator.locate("ledger.json", changed, problems)));
    }
}
