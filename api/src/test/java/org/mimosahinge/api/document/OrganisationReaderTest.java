package org.mimosahinge.api.document;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Quota;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.Problem;
import org.mimosahinge.api.platform.ObjectHash;

class OrganisationReaderTest {

    private static final String HASH = ObjectHash.of("third-secret").hex();
    private static final String SECTION =
            """
            {"team": "partners",
             "organisations": [
               {"name": "press", "keys": ["first-secret", "second-secret"], "keyHashes": ["%s"],
                "priority": "batch", "rate": 2.5, "burst": 10, "regions": ["ch-west"]},
               {"name": "radio",
                "keys": ["radio-secret"]}]}
            """
                    .formatted(HASH);

    static Stream<InputMutation> mutations() {
        return Stream.of(
                InputMutation.of("empty name", "\"press\"", "\"\"", "3 invalid_value organisations[0].name"),
                InputMutation.of("no name", "\"name\": \"radio\",", "", "5 missing_field organisations[1]"),
                InputMutation.of("same name", "\"radio\"", "\"press\"", "5 duplicate_name organisations[1].name"),
                InputMutation.of(
                        "key of another organisation",
                        "radio-secret",
                        "second-secret",
                        "6 duplicate_name organisations[1].keys[0]"),
                InputMutation.of(
                        "key whose hash another organisation has",
                        "radio-secret",
                        "third-secret",
                        "6 duplicate_name organisations[1].keys[0]"),
                InputMutation.of(
                        "number as key", "\"radio-secret\"", "4711", "6 invalid_value organisations[1].keys[0]"),
                InputMutation.of("empty key", "radio-secret", "", "6 invalid_value organisations[1].keys[0]"),
                InputMutation.of("key with a space", "radio-", "radio ", "6 invalid_value organisations[1].keys[0]"),
                InputMutation.of(
                        "key outside an array",
                        "[\"radio-secret\"]",
                        "\"radio-secret\"",
                        "6 invalid_value organisations[1].keys"),
                InputMutation.of("key as hash", HASH, "third-secret", "3 invalid_value organisations[0].keyHashes[0]"),
                InputMutation.of("negative rate", "2.5", "-2.5", "4 out_of_range organisations[0].rate"),
                InputMutation.of("infinite rate", "2.5", "1e999", "4 out_of_range organisations[0].rate"),
                InputMutation.of("rate as text", "2.5", "\"2.5\"", "4 invalid_value organisations[0].rate"),
                InputMutation.of("burst without rate", "\"rate\": 2.5,", "", "4 invalid_value organisations[0].burst"),
                InputMutation.of(
                        "unknown priority", "\"batch\"", "\"low\"", "4 invalid_value organisations[0].priority"),
                InputMutation.of(
                        "region as text", "[\"ch-west\"]", "\"ch-west\"", "4 invalid_value organisations[0].regions"));
    }

    /** Guards against accepting an invalid organisation, and against problems that show an API key. */
    @ParameterizedTest
    @MethodSource("mutations")
    void reportsThePlaceOfAProblemButNoKey(InputMutation mutation) {
        byte[] json = TestDocuments.utf8(mutation.apply(SECTION));
        assertEquals(
                mutation.expectedProblems(),
                InputMutation.problemsOf(() -> SectionParser.parse("partners.json", json)));
        try {
            SectionParser.parse("partners.json", json);
        } catch (InvalidDocumentException e) {
            String shown = e.getMessage() + e.problems();
            assertFalse(shown.contains("secret") || shown.contains("4711"), shown);
        }
    }

    /** Guards against parts of an organisation that are lost, and against a canonical form with a key in clear. */
    @Test
    void canonicalFormHasHashesInsteadOfKeys() {
        Section section = SectionParser.parse("partners.json", TestDocuments.utf8(SECTION));
        Set<String> hashes = Stream.of("first-secret", "second-secret", "third-secret")
                .map(key -> ObjectHash.of(key).hex())
                .collect(Collectors.toSet());
        assertEquals(
                new Organisation("press", hashes, Optional.of(CallClass.BATCH), new Quota(2.5, 10), Set.of("ch-west")),
                section.organisations().get(0));
        assertEquals(Quota.UNLIMITED, section.organisations().get(1).quota());
        byte[] canonical = SectionParser.toJson(section);
        assertFalse(new String(canonical, StandardCharsets.UTF_8).contains("secret"));
        assertEquals(section, SectionParser.parse("canonical", canonical));
        assertArrayEquals(canonical, SectionParser.toJson(SectionParser.parse("canonical", canonical)));
    }

    /** Guards against limits of the parser that an organisation with many keys exceeds. */
    @Test
    void acceptsAThousandKeys() {
        String keys =
                IntStream.range(0, 1_000).mapToObj(i -> "\"key-" + i + "\"").collect(Collectors.joining(","));
        String json = "{\"team\": \"t\", \"organisations\": [{\"name\": \"o\", \"keys\": [" + keys + "]}]}";
        Section section = SectionParser.parse("t.json", TestDocuments.utf8(json));
        assertTrue(Organisations.of(section.organisations()).withKey("key-999").isPresent());
        assertEquals(section, SectionParser.parse("canonical", SectionParser.toJson(section)));
    }

    static Stream<InputMutation> mutationsOfAnotherTeam() {
        return Stream.of(
                InputMutation.of("same name", "radio", "press", "2 duplicate_name organisations[0].name"),
                InputMutation.of("same key", "other-secret", "first-secret", "2 duplicate_name organisations[0]"),
                InputMutation.of("no change", "radio", "radio"));
    }

    /** Guards against two teams that give one name or one key to different organisations. */
    @ParameterizedTest
    @MethodSource("mutationsOfAnotherTeam")
    void checksOrganisationsOfAllSectionsTogether(InputMutation mutation) {
        byte[] other = TestDocuments.utf8(mutation.apply(
                "{\"team\": \"tuning\",\n \"organisations\": [{\"name\": \"radio\", \"keys\": [\"other-secret\"]}]}"));
        List<Problem> problems = DocumentValidator.validate(Map.of(
                "partners",
                SectionParser.parse("p", TestDocuments.utf8(SECTION.replace("\"radio\"", "\"airwaves\""))),
                "tuning",
                SectionParser.parse("tuning.json", other)));
        assertEquals(
                mutation.expectedProblems(),
                InputMutation.summaries(ProblemLocator.locate("tuning.json", other, problems)));
    }
}
