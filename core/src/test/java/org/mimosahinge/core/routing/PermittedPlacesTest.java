package org.mimosahinge.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
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

/** Guards against calls that leave their homes or reach an evacuated zone, above all when the endpoints there are full. */
class PermittedPlacesTest {

    private static final Region WEST = new Region("west");
    private static final Region EAST = new Region("east");
    private static final List<AvailabilityZone> ZONES = List.of(
            new AvailabilityZone("w1", WEST),
            new AvailabilityZone("w2", WEST),
            new AvailabilityZone("e1", EAST),
            new AvailabilityZone("e2", EAST));

    private static Endpoint endpoint(AvailabilityZone zone) {
        Node node = new Node(new NodeId("n-" + zone.name()), 1, zone, new HostPort("127.0.0.1", 1));
        BackendServer server = new BackendServer("shop", "v1", new HostPort("127.0.0.1", 2), 4, 130, Set.of());
        return new Endpoint(zone.name(), server, node, EndpointState.READY, new LogicalTimestamp(1, 1));
    }

    private static Snapshot snapshot() {
        List<Endpoint> endpoints =
                ZONES.stream().map(PermittedPlacesTest::endpoint).toList();
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

    private static Set<String> names(String text) {
        return text == null ? Set.of() : Set.copyOf(Arrays.asList(text.split(" ")));
    }

    @ParameterizedTest(name = "route {0}, organisation {1}, evacuated {2}: {3}")
    @CsvSource({
        ", , , w1 w2 e1 e2",
        "west, , , w1 w2",
        ", east, , e1 e2",
        "west, east, , ''",
        "west east, east, , e1 e2",
        ", , w1, w2 e1 e2",
        "west, , w1 e1, w2",
        "west, , w1 w2, ''",
        "north, , , ''"
    })
    void admitsEndpointsInAllHomesAndOutsideEvacuatedZones(
            String route, String organisation, String evacuated, String expected) {
        PermittedPlaces places = new PermittedPlaces(names(route), names(organisation), names(evacuated));
        String admitted = ZONES.stream()
                .map(PermittedPlacesTest::endpoint)
                .filter(places::admits)
                .map(Endpoint::id)
                .collect(Collectors.joining(" "));
        assertEquals(expected, admitted);
        assertEquals(route == null && organisation == null && evacuated == null, places.everywhere());
    }

    private static Stream<Arguments> choosers() {
        return Stream.of(
                        Map.entry("expected time", ExpectedTimeChooser.create(CostModel.PAID_LINKS)),
                        Map.entry("standard", EndpointChoosers.standard()),
                        Map.entry("round robin", EndpointChoosers.roundRobin()))
                .flatMap(chooser -> Stream.of("filter", "preference")
                        .map(way -> Arguments.of(chooser.getKey(), chooser.getValue(), way)));
    }

    /** Under load the endpoints outside look better; a preference, the baseline, then leaves the homes. */
    @ParameterizedTest(name = "{0}, {2}")
    @MethodSource("choosers")
    void noChoiceLeavesTheHomesWhenTheyAreFullOrTried(String name, EndpointChooser chooser, String way) {
        PermittedPlaces places = new PermittedPlaces(Set.of("east"), Set.of(), Set.of("e2"));
        Random random = new Random(5);
        List<String> outside = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < 2_000; i++) {
            boolean full = i % 2 == 0;
            Set<String> excluded = i % 5 == 0 ? Set.of("e1") : Set.of();
            LoadView loads = endpoint -> new EndpointLoad(
                    full && places.admits(endpoint) ? 40 : 0,
                    full && places.admits(endpoint) ? 9_000 : 0,
                    random.nextInt(5_000),
                    60_000,
                    full && places.admits(endpoint),
                    new EndpointStats(50, 0, 1, 0));
            List<EndpointFilter> filters = way.equals("filter")
                    ? List.<EndpointFilter>of(((EndpointFilter) endpoint -> true).and(places))
                    : List.of(places, endpoint -> true);
            Optional<EndpointChoice> choice = Optional.empty();
            for (EndpointFilter filter : filters) {
                choice = choice.isPresent()
                        ? choice
                        : chooser.choose(
                                new EndpointChoiceRequest("shop", filter, ZONES.get(0), excluded, 1),
                                snapshot(),
                                loads,
                                random::nextInt);
            }
            choice.map(found -> found.endpoint())
                    .filter(found -> !places.admits(found))
                    .ifPresent(found -> outside.add(found.id()));
            refused += choice.isEmpty() ? 1 : 0;
        }
        if (way.equals("filter")) {
            assertEquals(List.of(), outside);
            assertEquals(400, refused);
        } else {
            assertTrue(
                    outside.size() >= 400, "The baseline should leave the homes, but did " + outside.size() + " times");
        }
    }
}
