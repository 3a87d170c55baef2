package org.mimosahinge.core.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.core.routing.RandomSource;

/** Guards against a request that crashes one backend server after another, and against the refusal of an innocent one. */
class CrashRegistryTest {

    private static final Fingerprint REQUEST = new Fingerprint("pay", "POST", "/pay", "ab");

    /** The shortest delay of each trial. */
    private static final RandomSource EARLY = bound -> 0;

    private static final int NODES = 2;

    /** Nodes that tell each other each change at once, unless the event says that the others do not hear of it. */
    private static final class Nodes {
        private final Map<Integer, CrashRegistry> registries = new HashMap<>();

        private CrashRegistry of(int node) {
            return registries.getOrDefault(node, CrashRegistry.EMPTY);
        }

        /** Applies an event: node, what happens, endpoint with its birth, time. */
        private void apply(String event) {
            String[] parts = event.split("[:@]", -1);
            int node = Integer.parseInt(parts[0]);
            String[] backend = parts[2].split("/", -1);
            long at = Long.parseLong(parts[3]);
            registries.put(
                    node,
                    switch (parts[1]) {
                        case "crash" -> of(node).recordCrash(
                                        REQUEST, backend[0], Long.parseLong(backend[1]), at, EARLY);
                        case "success" -> of(node).recordSuccess(REQUEST, at, EARLY);
                        case "try" -> of(node).withTrial(REQUEST, at, EARLY);
                        default -> of(node).refuse(REQUEST, at, at + CrashRegistry.REFUSAL_MS);
                    });
            CrashReport report = of(node).report(REQUEST);
            for (int other = 0; other < NODES; other++) {
                registries.put(other, of(other).merge(report, at, EARLY));
            }
        }
    }

    @ParameterizedTest(name = "{0}, queried at {1} ms: refused {2}")
    @CsvSource({
        // Two backend servers are enough, on one node or on two.
        "0:crash:a/1@0, 1, false",
        "0:crash:a/1@0 0:crash:b/1@10, 11, true",
        "0:crash:a/1@0 1:crash:b/1@10, 11, true",
        "0:crash:a/1@0 1:crash:a/2@9000, 9001, true",
        "0:crash:a/1@0 0:crash:a/1@9000, 9001, true",
        // Review case 15: two calls at one crash, or two nodes that see it, count once.
        "0:crash:a/1@0 0:crash:a/1@0, 1, false",
        "0:crash:a/1@0 1:crash:a/1@1500, 1501, false",
        "0:crash:a/1@0 0:crash:a/1@0 1:crash:b/1@10, 11, true",
        // The next request is a trial after some time, longer after each loss.
        "0:crash:a/1@0 0:crash:b/1@0, 2999, true",
        "0:crash:a/1@0 0:crash:b/1@0, 3000, false",
        "0:crash:a/1@0 0:crash:b/1@0 0:try:-@3000, 3001, true",
        "0:crash:a/1@0 0:crash:b/1@0 0:try:-@3000, 6000, false",
        "0:crash:a/1@0 0:crash:b/1@0 0:crash:c/1@0, 29999, true",
        "0:crash:a/1@0 0:crash:b/1@0 0:crash:c/1@0, 30000, false",
        "0:crash:a/1@0 0:crash:b/1@0 0:crash:c/1@0 0:crash:d/1@0, 119999, true",
        "0:crash:a/1@0 0:crash:b/1@0 0:crash:c/1@0 0:crash:d/1@0 0:crash:e/1@0, 599999, true",
        "0:crash:a/1@0 0:crash:b/1@0 0:crash:c/1@0 0:crash:d/1@0 0:crash:e/1@0, 600000, false",
        // A success on any node clears all losses that are known, and no later ones.
        "0:crash:a/1@0 1:success:-@5 0:crash:b/1@10, 11, false",
        "0:crash:a/1@0 0:crash:b/1@0 1:success:-@3000, 3001, false",
        "0:crash:a/1@0 0:success:-@5 0:crash:b/1@10 1:crash:c/1@20, 21, true",
        "0:crash:a/1@0 0:success:-@5 1:crash:a/1@10, 11, false",
        // Losses are forgotten, and a refusal without a reason ends, after ten minutes.
        "0:crash:a/1@0 0:crash:b/1@600000, 600001, false",
        "0:refuse:-@0, 599999, true",
        "0:refuse:-@0, 600000, false"
    })
    void requestIsRefusedAfterTwoBackendServersWereLost(String history, long queriedMs, boolean refused) {
        Nodes nodes = new Nodes();
        for (String event : history.split(" ", -1)) {
            nodes.apply(event);
        }
        assertEquals(refused, nodes.of(0).isRefused(REQUEST, queriedMs));
        assertEquals(
                nodes.of(0).needsBody("pay", "POST", "/pay", queriedMs),
                refused || nodes.of(0).withTrial(REQUEST, queriedMs, EARLY) != nodes.of(0));
        assertFalse(nodes.of(0).needsBody("pay", "POST", "/other", queriedMs));
    }

    /** Nodes get reports from several others, so in any order. */
    @ParameterizedTest(name = "success first: {0}")
    @CsvSource({"true", "false"})
    void orderOfReportsDoesNotMatter(boolean successFirst) {
        Set<BackendStart> lost = Set.of(new BackendStart("a", 1, 0), new BackendStart("b", 1, 0));
        CrashReport loss = new CrashReport(REQUEST, lost, Set.of());
        CrashReport success = new CrashReport(REQUEST, Set.of(), lost);
        CrashRegistry registry = CrashRegistry.EMPTY
                .merge(successFirst ? success : loss, 0, EARLY)
                .merge(new CrashReport(new Fingerprint("r", "GET", "/", ""), lost, Set.of()), 0, EARLY)
                .merge(successFirst ? loss : success, 0, EARLY);
        assertFalse(registry.isRefused(REQUEST, 1));
        assertEquals(registry, registry.merge(loss, 2, EARLY));
    }

    @Test
    void numberOfRecordsIsLimited() {
        CrashRegistry registry = CrashRegistry.EMPTY;
        for (int i = 0; i < 1000; i++) {
            registry = registry.recordCrash(new Fingerprint("r", "GET", "/" + i, ""), "a", 1, i, EARLY);
        }
        assertTrue(registry.records().size() <= 256);
    }
}
