package org.mimosahinge.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
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

/** Guards against calls on a wrong route, to a halted version or to an unsuitable endpoint. */
class RoutingTest {

    private static final Service SHOP =
            new Service("shop", List.of("v1", "v2"), "v1", Optional.empty(), ServiceLimits.DEFAULT);
    private static final Region WEST = new Region("west");
    private static final Map<String, AvailabilityZone> ZONES = Map.of(
            "near", new AvailabilityZone("near", WEST),
            "region", new AvailabilityZone("region", WEST),
            "link", new AvailabilityZone("link", new Region("east")));

    private static Route route(String prefix) {
        return new Route(
                prefix,
                "",
                prefix,
                List.of(new ServiceShare("shop", 1)),
                CallClass.INTERACTIVE,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Route.DEFAULT_MAX_ATTEMPTS,
                true,
                false,
                Set.of(),
                RouteAccess.STANDARD);
    }

    private static Endpoint endpoint(String id, String version, String zone, EndpointState state) {
        Node node = new Node(new NodeId(id), 1, ZONES.get(zone), new HostPort("127.0.0.1", 1));
        BackendServer server = new BackendServer("shop", version, new HostPort("127.0.0.1", 2), 10, 130, Set.of());
        return new Endpoint(id, server, node, state, new LogicalTimestamp(1, 1));
    }

    private static Snapshot snapshot(Optional<MoveState> move, Set<HaltMark> halts, Endpoint... endpoints) {
        Map<String, MoveState> moves = new HashMap<>();
        move.ifPresent(state -> moves.put("shop", state));
        return new Snapshot(
                1,
                new TreeMap<>(),
                Map.of("shop", SHOP),
                Map.of("shop", 5L),
                List.of(),
                moves,
                Map.of("shop", List.of(endpoints)),
                halts,
                true,
                CallerLimits.DEFAULT,
                TrafficRules.NONE);
    }

    @ParameterizedTest(name = "{0} goes to {1}")
    @CsvSource({
        "/shop, /shop",
        "/shop/, /shop",
        "/shop?x=/shop/pages, /shop",
        "/shop/pages/1, /shop/pages",
        "/shopping, /",
        "/other, /"
    })
    void matchesTheLongestPrefixOfWholeSegments(String uri, String prefix) {
        List<Route> routes = List.of(route("/shop/pages"), route("/shop"), route("/"));
        assertEquals(prefix, RouteIndex.of(routes).match("", uri).orElseThrow().pathPrefix());
    }

    @ParameterizedTest(name = "{0} {1} permille, halted {2} at revision {3}, ready {4}: v2 in {5}..{6} of 1000")
    @CsvSource({
        "RUNNING, 200, none, 0, v1+v2, 150, 250",
        "RUNNING, 200, v2, 5, v1+v2, 0, 0",
        "RUNNING, 200, v2, 4, v1+v2, 150, 250",
        "RUNNING, 200, none, 0, v1, 0, 0",
        "RUNNING, 200, none, 0, v2, 1000, 1000",
        "PLANNED, 200, none, 0, v1+v2, 0, 0",
        "PLANNED, 200, none, 0, v2, 0, 0",
        "TAKEN_BACK, 200, none, 0, v2, 0, 0",
        "DONE, 0, none, 0, v1+v2, 1000, 1000",
        "DONE, 0, none, 0, v1, 0, 0"
    })
    void picksVersionsByShare(
            MovePhase phase, int share, String halted, long revision, String ready, int min, int max) {
        MoveState move = new MoveState("shop", "v1", "v2", 5, share, phase, "", Instant.EPOCH);
        List<Endpoint> endpoints = new ArrayList<>();
        for (String version : ready.split("\\+", -1)) {
            endpoints.add(endpoint(version, version, "near", EndpointState.READY));
        }
        Set<HaltMark> halts = halted.equals("none") ? Set.of() : Set.of(new HaltMark("shop", halted, revision));
        Snapshot snapshot = snapshot(Optional.of(move), halts, endpoints.toArray(Endpoint[]::new));
        Random random = new Random(7);
        long newVersionCalls = 0;
        for (int i = 0; i < 1000; i++) {
            newVersionCalls += VersionPicker.pick(SHOP, snapshot, random::nextInt).filter("v2"::equals).stream()
                    .count();
        }
        assertTrue(newVersionCalls >= min && newVersionCalls <= max, "v2 was picked " + newVersionCalls + " times");
    }

    @ParameterizedTest(name = "near {0}, region {1}, link {2}, excluded {3}: {4}")
    @CsvSource({
        "0, 0, 0, none, near",
        "9, 0, 0, none, near",
        "10, 0, 0, none, region",
        "10, 10, 9, none, link",
        "10, 10, 10, none, near",
        "0, 0, 0, near, region",
        "0, 10, 0, near, link"
    })
    void spillsOverByDistanceBeforeQueueing(int near, int region, int link, String excluded, String expected) {
        Map<String, Integer> outstanding = Map.of("near", near, "region", region, "link", link);
        Snapshot snapshot = snapshot(
                Optional.empty(),
                Set.of(),
                endpoint("near", "v1", "near", EndpointState.READY),
                endpoint("region", "v1", "region", EndpointState.READY),
                endpoint("link", "v1", "link", EndpointState.READY));
        EndpointChoice choice = EndpointChoosers.standard()
                .choose(
                        new EndpointChoiceRequest(
                                "shop", EndpointFilter.forVersion("v1"), ZONES.get("near"), Set.of(excluded), 1),
                        snapshot,
                        endpoint -> new EndpointLoad(outstanding.get(endpoint.id()), 0, Long.MAX_VALUE, 60_000, false),
                        new Random(1)::nextInt)
                .orElseThrow();
        assertEquals(expected, choice.endpoint().id());
    }

    @ParameterizedTest(
            name = "{0} calls, report {1} of age {2} ms, ready for {3} ms, suspect {4}, chosen over 4 calls: {5}")
    @CsvSource({
        "0, 0, 99999, 60000, false, true",
        "0, 0, 99999, 60000, true, false",
        "8, 0, 99999, 60000, false, false",
        "0, 900, 10, 60000, false, false",
        "0, 900, 99999, 60000, false, true",
        "1, 0, 99999, 0, false, false",
        "0, 1000, 10, 60000, false, false"
    })
    void weighsOutstandingCallsReportsAndSlowStart(
            int outstanding, int report, long age, long readyFor, boolean suspect, boolean chosen) {
        Snapshot snapshot = snapshot(
                Optional.empty(),
                Set.of(),
                endpoint("a", "v1", "near", EndpointState.READY),
                endpoint("b", "v1", "near", EndpointState.READY));
        LoadView loads = endpoint -> endpoint.id().equals("a")
                ? new EndpointLoad(outstanding, report, age, readyFor, suspect)
                : new EndpointLoad(4, 0, Long.MAX_VALUE, 60_000, false);
        EndpointChoice choice = EndpointChoosers.standard()
                .choose(
                        new EndpointChoiceRequest(
                                "shop", EndpointFilter.forVersion("v1"), ZONES.get("near"), Set.of(), 1),
                        snapshot,
                        loads,
                        new Random(1)::nextInt)
                .orElseThrow();
        assertEquals(chosen, choice.endpoint().id().equals("a"));
    }

    @ParameterizedTest(name = "near: {0} calls, suspect {1}; over the link: {2} calls, suspect {3}: {4}")
    @CsvSource({
        "10, false, 0, true, near",
        "0, true, 10, false, link",
        "0, true, 0, true, near",
        "10, false, 10, false, near"
    })
    void prefersAFullEndpointToASuspectOne(
            int near, boolean nearSuspect, int link, boolean linkSuspect, String expected) {
        Snapshot snapshot = snapshot(
                Optional.empty(),
                Set.of(),
                endpoint("near", "v1", "near", EndpointState.READY),
                endpoint("link", "v1", "link", EndpointState.READY));
        LoadView loads = endpoint -> endpoint.id().equals("near")
                ? new EndpointLoad(near, 0, Long.MAX_VALUE, 60_000, nearSuspect)
                : new EndpointLoad(link, 0, Long.MAX_VALUE, 60_000, linkSuspect);
        EndpointChoice choice = EndpointChoosers.standard()
                .choose(
                        new EndpointChoiceRequest(
                                "shop", EndpointFilter.forVersion("v1"), ZONES.get("near"), Set.of(), 1),
                        snapshot,
                        loads,
                        new Random(1)::nextInt)
                .orElseThrow();
        assertEquals(expected, choice.endpoint().id());
    }

    @Property(tries = 200, seed = "11")
    void choosesOnlyReadyEndpoints(
            @ForAll @IntRange(min = 0, max = 3) int first, @ForAll @IntRange(min = 0, max = 3) int second) {
        EndpointState[] states = EndpointState.values();
        Snapshot snapshot = snapshot(
                Optional.empty(),
                Set.of(),
                endpoint("a", "v1", "near", states[first]),
                endpoint("b", "v1", "link", states[second]));
        for (EndpointChooser chooser : List.of(
                EndpointChoosers.standard(), EndpointChoosers.roundRobin(), EndpointChoosers.leastReportedLoad())) {
            Optional<EndpointChoice> choice = chooser.choose(
                    new EndpointChoiceRequest("shop", EndpointFilter.forVersion("v1"), ZONES.get("near"), Set.of(), 1),
                    snapshot,
                    endpoint -> EndpointLoad.UNKNOWN,
                    new Random(first)::nextInt);
            boolean anyReady = states[first] == EndpointState.READY || states[second] == EndpointState.READY;
            assertEquals(anyReady, choice.isPresent());
            assertTrue(choice.stream().allMatch(found -> found.endpoint().state() == EndpointState.READY));
        }
    }
}
