package org.mimosahinge.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/** Guards against calls to endpoints that are full, slow or failing, and against needless traffic over paid links. */
class ExpectedTimeChooserTest {

    private static final Region WEST = new Region("west");
    private static final AvailabilityZone NEAR = new AvailabilityZone("near", WEST);
    private static final AvailabilityZone NEXT = new AvailabilityZone("next", WEST);
    private static final AvailabilityZone FAR = new AvailabilityZone("far", new Region("east"));
    private static final int SLOTS = 16;

    private static Endpoint endpoint(AvailabilityZone zone) {
        Node node = new Node(new NodeId(zone.name()), 1, zone, new HostPort("127.0.0.1", 1));
        BackendServer server = new BackendServer("shop", "v1", new HostPort("127.0.0.1", 2), SLOTS, 130, Set.of());
        return new Endpoint(zone.name(), server, node, EndpointState.READY, new LogicalTimestamp(1, 1));
    }

    private static EndpointLoad load(int permille, double serviceMs, double failures, double roundTripMs) {
        return new EndpointLoad(0, permille, 0, 60_000, false, new EndpointStats(serviceMs, failures, roundTripMs, 0));
    }

    private static Snapshot snapshot(List<Endpoint> endpoints) {
        return new Snapshot(
                1,
                new TreeMap<>(),
                Map.of(),
                Map.of(),
                List.of(),
                Map.of(),
                Map.of("shop", endpoints),
                Set.of(),
                true,
                CallerLimits.DEFAULT,
                TrafficRules.NONE);
    }

    @ParameterizedTest(name = "near {0} permille {1} ms {2} failing, next {3} permille, {4} KB: chooses {5}")
    @CsvSource({
        "500, 90, 0, 0, 5, near",
        "1800, 90, 0, 0, 5, next",
        "850, 90, 0, 850, 5, near",
        "1400, 90, 0, 1400, 5, near",
        "1700, 90, 0, 1700, 5, far",
        "500, 900, 0, 500, 5, next",
        "500, 90, 0.5, 500, 5, next",
        "1400, 90, 0, 0, 90, near",
        "300, 90, 0, 0, 0.6, near"
    })
    void leavesTheZoneWhenTheTimeSavedExceedsTheTransferCost(
            int nearPermille, double nearMs, double failures, int nextPermille, double kilobytes, String expected) {
        Map<String, EndpointLoad> loads = new HashMap<>();
        loads.put("near", load(nearPermille, nearMs, failures, 0.2));
        loads.put("next", load(nextPermille, 90, 0, 1));
        loads.put("far", load(500, 90, 0, 24));
        Random random = new Random(3);
        EndpointChoice choice = ExpectedTimeChooser.create(CostModel.PAID_LINKS)
                .choose(
                        new EndpointChoiceRequest("shop", endpoint -> true, NEAR, Set.of(), kilobytes),
                        snapshot(List.of(endpoint(NEAR), endpoint(NEXT), endpoint(FAR))),
                        endpoint -> loads.get(endpoint.id()),
                        random::nextInt)
                .orElseThrow();
        assertEquals(expected, choice.endpoint().id());
    }

    @ParameterizedTest(name = "{0} KB, last report {1} ms ago: {2} to {3} of 4,000 calls explore the other zone")
    @CsvSource({"5, 60000, 40, 200", "5, 100, 0, 0", "90, 60000, 0, 0"})
    void endpointsWithoutRecentReportsAreExplored(double kilobytes, long ageMs, int min, int max) {
        EndpointLoad stale = new EndpointLoad(0, 0, ageMs, 60_000, false, new EndpointStats(0, 0, 1, 0));
        Random random = new Random(7);
        int explored = 0;
        for (int i = 0; i < 4_000; i++) {
            EndpointChoice choice = ExpectedTimeChooser.create(CostModel.PAID_LINKS)
                    .choose(
                            new EndpointChoiceRequest("shop", endpoint -> true, NEAR, Set.of(), kilobytes),
                            snapshot(List.of(endpoint(NEAR), endpoint(NEXT))),
                            endpoint -> endpoint.id().equals("near") ? load(300, 20, 0, 0.2) : stale,
                            random::nextInt)
                    .orElseThrow();
            explored += choice.endpoint().id().equals("next") ? 1 : 0;
        }
        assertTrue(explored >= min && explored <= max, explored + " calls");
    }

    /**
     * The speeds of six endpoints with equal slots differ by a factor of three, and the load is 90 % of their total
     * capacity. The number of slots does not show the speed, so round robin overloads the slow endpoints.
     */
    @ParameterizedTest(name = "{0}: mean wait below {1} ms")
    @CsvSource({"expected, 30", "round robin, 100000"})
    void distributesCallsBySpeed(String name, double bound) {
        double[] speeds = {0.5, 0.5, 1, 1, 1.5, 1.5};
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < speeds.length; i++) {
            Node node = new Node(new NodeId("n" + i), 1, NEAR, new HostPort("127.0.0.1", 1));
            BackendServer server = new BackendServer("shop", "v1", new HostPort("127.0.0.1", 2), SLOTS, 130, Set.of());
            endpoints.add(new Endpoint("e" + i, server, node, EndpointState.READY, new LogicalTimestamp(1, 1)));
        }
        EndpointChooser chooser = name.equals("expected")
                ? ExpectedTimeChooser.create(CostModel.TIME_ONLY)
                : EndpointChoosers.roundRobin();
        double waitMs = meanWaitMs(chooser, endpoints, speeds);
        assertTrue(waitMs < bound, name + " waits " + waitMs + " ms");
        if (!name.equals("expected")) {
            assertTrue(waitMs > 100, "The baseline should have long waits, but waits " + waitMs + " ms");
        }
    }

    private static double meanWaitMs(EndpointChooser chooser, List<Endpoint> endpoints, double[] speeds) {
        Random random = new Random(11);
        double meanServiceMs = 100;
        double callsPerMs = 0.9 * SLOTS * 6 / meanServiceMs;
        double[][] freeAt = new double[endpoints.size()][SLOTS];
        double now = 0;
        double waitedMs = 0;
        int calls = 40_000;
        for (int i = 0; i < calls; i++) {
            now += -Math.log(1 - random.nextDouble()) / callsPerMs;
            double at = now;
            LoadView loads = endpoint -> {
                int index = Integer.parseInt(endpoint.id().substring(1));
                double remainingMs = 0;
                for (double free : freeAt[index]) {
                    remainingMs += Math.max(0, free - at);
                }
                double serviceMs = meanServiceMs / speeds[index];
                int permille = (int) (1000 * remainingMs / serviceMs / SLOTS);
                return load(permille, serviceMs, 0, 0);
            };
            EndpointChoice choice = chooser.choose(
                            new EndpointChoiceRequest("shop", endpoint -> true, NEAR, Set.of(), 1),
                            snapshot(endpoints),
                            loads,
                            random::nextInt)
                    .orElseThrow();
            int index = Integer.parseInt(choice.endpoint().id().substring(1));
            double[] slots = freeAt[index];
            int firstFree = 0;
            for (int slot = 1; slot < slots.length; slot++) {
                firstFree = slots[slot] < slots[firstFree] ? slot : firstFree;
            }
            double start = Math.max(now, slots[firstFree]);
            waitedMs += start - now;
            slots[firstFree] = start - Math.log(1 - random.nextDouble()) * meanServiceMs / speeds[index];
        }
        return waitedMs / calls;
    }
}
