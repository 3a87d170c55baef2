package org.mimosahinge.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.ServiceShare;

/** Guards against calls on another host's route and against a distribution of calls that deviates from the weights. */
class RouteIndexTest {

    private static Route route(String name, String host, String prefix, ServiceShare... shares) {
        return Route.builder(name)
                .matching(host, prefix)
                .shares(List.of(shares))
                .latency(Duration.ofSeconds(1), Duration.ofMillis(300))
                .build();
    }

    private static final RouteIndex INDEX = RouteIndex.of(List.of(
            route("shop", "shop.example", "/a/", new ServiceShare("s", 1)),
            route("deep", "shop.example", "/a/b/", new ServiceShare("s", 1)),
            route("bank", "bank.example", "/a/", new ServiceShare("s", 1)),
            route("any", "", "/any/", new ServiceShare("s", 1))));

    @ParameterizedTest(name = "{0} {1}: {2}")
    @CsvSource({
        "shop.example, /a/1, shop",
        "SHOP.example:8080, /a/1, shop",
        "shop.example, /a/b/1, deep",
        "shop.example, /a/b, shop",
        "shop.example, /a/?x=/a/b/, shop",
        "shop.example, /a, none",
        "shop.example, /ab/1, none",
        "bank.example, /a/b/1, bank",
        "other.example, /a/1, none",
        "other.example, /any/1, any",
        "shop.example, /any/1, any"
    })
    void matchesHostThenLongestPrefix(String host, String uri, String expected) {
        assertEquals(expected, INDEX.match(host, uri).map(Route::name).orElse("none"));
    }

    /** A slot that is reserved for calls which no route brings stays idle under overload. */
    @ParameterizedTest(name = "internal checks go to {0}: {1}")
    @CsvSource({"stock, true", "desk, true", "shop, false", "other, false"})
    void knowsTheServicesThatGetInternalChecks(String service, boolean expected) {
        RouteIndex index = RouteIndex.of(List.of(
                route("check", "", "/check/", new ServiceShare("stock", 1), new ServiceShare("desk", 1))
                        .withCallClass(CallClass.INTERNAL_CHECK),
                route("page", "", "/page/", new ServiceShare("shop", 1))));
        assertEquals(expected, index.sendsInternalChecksTo(service));
    }

    @ParameterizedTest(name = "weights {0} and {1}: {2} of {3} calls go to the first service")
    @CsvSource({"90, 10, 9, 10", "90, 10, 900, 1000", "1, 1, 50, 100", "3, 1, 75, 100", "100, 0, 40, 40"})
    void shortSequencesOfCallsFollowTheWeights(int first, int second, int expected, int calls) {
        Route split = route("split", "h", "/", new ServiceShare("one", first), new ServiceShare("two", second));
        WeightedRoundRobin roundRobin = new WeightedRoundRobin();
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < calls; i++) {
            counts.merge(roundRobin.next(split), 1, Integer::sum);
        }
        assertEquals(expected, counts.getOrDefault("one", 0));
    }
}
