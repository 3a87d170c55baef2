package org.mimosahinge.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.config.Head;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.SectionRef;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.platform.ObjectHash;
import org.mimosahinge.core.Samples;
import org.mimosahinge.core.lease.Revisioned;

/** Guards against lost edits, edits accepted twice and moves whose share changes because of an unrelated edit. */
class SubmissionPolicyTest {
    private static final ObjectHash HASH = ObjectHash.of("section");
    private static final Instant LATER = Samples.NOON.plusSeconds(60);

    @ParameterizedTest(name = "base {0}, operation {1} with a route to {2}: {3}")
    @CsvSource({
        "4, op-new, listings, Write",
        "3, op-new, listings, Conflict",
        "5, op-new, listings, Conflict",
        "3, op-4, listings, AlreadyAccepted",
        "4, op-4, listings, AlreadyAccepted",
        "4, op-new, ledger, Unresolved",
        "3, op-new, ledger, Conflict"
    })
    void submissionIsDecidedFromTheRowsRead(long base, String operation, String target, String outcome) {
        SectionSubmission submission =
                new SectionSubmission(operation, base, Samples.section("listings", target), HASH, Samples.NOON);
        SubmissionResult result = SubmissionPolicy.decide(view(null), submission);
        assertEquals(outcome, result.getClass().getSimpleName());
        if (result instanceof SubmissionResult.Write write) {
            assertEquals(12, write.head().rowRevision());
            assertEquals(8, write.head().value().version());
            assertEquals(5, write.head().value().sections().get("listings").revision());
            assertEquals(11, write.sectionRow().rowRevision());
            assertEquals(List.of("op-4", "op-new"), write.sectionRow().value().operationIds());
        }
    }

    @ParameterizedTest(name = "after {0} changes")
    @CsvSource({"1, 1", "8, 8", "20, 8"})
    void sectionRowRetainsTheLastEightOperationIds(int changes, int retained) {
        SectionRow row = SectionRow.initial("listings");
        for (int i = 1; i <= changes; i++) {
            row = row.withChange(HASH, "op-" + i);
        }
        assertEquals(
                IntStream.rangeClosed(changes - retained + 1, changes)
                        .mapToObj(i -> "op-" + i)
                        .toList(),
                row.operationIds());
        assertEquals(changes, row.revision());
    }

    static Stream<Arguments> moves() {
        MoveState running = state(MovePhase.RUNNING, 250, 4);
        MoveState takenBack = state(MovePhase.TAKEN_BACK, 0, 4);
        Service same = Samples.serviceWithMove("listings", "v2");
        Service other = new Service(
                "listings",
                List.of("v1", "v2"),
                "v1",
                same.move().map(move -> new Move(move.to(), move.start(), LATER)),
                same.limits());
        Service none = Samples.service("listings");
        MoveState planned = new MoveState("listings", "v1", "v2", 5, 0, MovePhase.PLANNED, "requested", LATER);
        MoveState cancelled =
                new MoveState("listings", "v1", "v2", 5, 0, MovePhase.CANCELLED, "withdrawn by operators", LATER);
        return Stream.of(
                Arguments.of("an unrelated edit keeps a running move", running, same, running),
                Arguments.of(
                        "an unrelated edit does not restart a move that was taken back", takenBack, same, takenBack),
                Arguments.of("a changed move starts again", takenBack, other, planned),
                Arguments.of("a withdrawn move is cancelled", running, none, cancelled),
                Arguments.of("an ended move is dropped", takenBack, none, null),
                Arguments.of("a first move is planned", null, other, planned));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("moves")
    void newSectionRevisionUpdatesItsMoves(String rule, MoveState before, Service service, MoveState after) {
        Section section = new Section("listings", Set.of(), List.of(service), List.of());
        SubmissionResult result =
                SubmissionPolicy.decide(view(before), new SectionSubmission("op-new", 4, section, HASH, LATER));
        SubmissionResult.Write write = assertInstanceOf(SubmissionResult.Write.class, result);
        assertEquals(
                Optional.ofNullable(after),
                Optional.ofNullable(write.head().value().moves().get("listings")),
                rule);
    }

    @ParameterizedTest(name = "current revision {0}, recorded revision {1} with share {2}: written {3}")
    @CsvSource({"4, 4, 500, true", "4, 4, 250, false", "5, 4, 500, false", "0, 4, 500, false"})
    void controllerRecordsOnlyTheCurrentMove(long current, long recorded, int share, boolean written) {
        MoveState before = current == 0 ? null : state(MovePhase.RUNNING, 250, current);
        MoveState next = state(MovePhase.RUNNING, share, recorded);
        Optional<Revisioned<Head>> write =
                SubmissionPolicy.recordMove(view(before).head(), next);
        assertEquals(written, write.isPresent());
        write.ifPresent(head -> {
            assertEquals(8, head.value().version());
            assertEquals(next, head.value().moves().get("listings"));
        });
    }

    private static MoveState state(MovePhase phase, int share, long revision) {
        return new MoveState("listings", "v1", "v2", revision, share, phase, "", Samples.NOON);
    }

    /** Head version 7 with section listings at revision 4, accepted as op-4. */
    private static SubmissionView view(MoveState move) {
        SectionRow row = new SectionRow("listings", 4, Optional.of(HASH), List.of("op-4"));
        TreeMap<String, MoveState> moves = new TreeMap<>();
        if (move != null) {
            moves.put("listings", move);
        }
        TreeMap<String, SectionRef> references = new TreeMap<>(Map.of("listings", row.reference()));
        Service service = move == null ? Samples.service("listings") : Samples.serviceWithMove("listings", "v2");
        Section section = new Section("listings", Set.of(), List.of(service), List.of());
        return new SubmissionView(
                new Revisioned<>(12, new Head(7, references, moves)),
                new Revisioned<>(11, row),
                Map.of("listings", section));
    }
}
