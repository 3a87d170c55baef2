package org.mimosahinge.core.review;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Quota;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.core.review.EntryChange.Change;
import org.mimosahinge.core.review.ReviewFinding.Concern;

/** Guards against a configuration that is sent although a part of it cannot work as its author wants. */
class ConfigReviewTest {

    private static final Route SHOP = route("shop", "/shop/").build();
    private static final Organisation MEMBER = organisation("member", Set.of("hash"), new Quota(5, 5), Set.of());

    private static Route.Builder route(String name, String prefix) {
        return Route.builder(name)
                .matching("h", prefix)
                .shares(List.of(new ServiceShare("shop", 1)))
                .latency(Duration.ofSeconds(2), Duration.ofSeconds(1))
                .attempts(2, true);
    }

    private static Organisation organisation(String name, Set<String> keys, Quota quota, Set<String> regions) {
        return new Organisation(name, keys, Optional.empty(), quota, regions);
    }

    private static ReviewedConfig config(List<Route> routes, Organisation... organisations) {
        return new ReviewedConfig(routes, Map.of("shop", 1), Set.of(), Organisations.of(List.of(organisations)));
    }

    private static Arguments finding(String name, ReviewedConfig config, Concern concern, String entry) {
        return Arguments.of(name, config, Optional.of(concern), entry);
    }

    private static Stream<Arguments> configurations() {
        Route homed = route("homed", "/homed/")
                .access(new RouteAccess(false, Set.of("west")))
                .build();
        return Stream.of(
                Arguments.of("nothing to find", config(List.of(SHOP), MEMBER), Optional.empty(), ""),
                finding(
                        "same prefix twice",
                        config(List.of(SHOP, route("again", "/shop/").build())),
                        Concern.NEVER_MATCHES,
                        "route again"),
                finding(
                        "prefix without a slash",
                        config(List.of(SHOP, route("odd", "odd/").build())),
                        Concern.NEVER_MATCHES,
                        "route odd"),
                finding(
                        "target above the timeout",
                        config(List.of(route("slow", "/slow/")
                                .latency(Duration.ofSeconds(1), Duration.ofSeconds(2))
                                .build())),
                        Concern.CONTRADICTION,
                        "route slow"),
                finding(
                        "service that does not exist",
                        config(List.of(
                                SHOP,
                                route("lost", "/lost/")
                                        .shares(List.of(new ServiceShare("gone", 1)))
                                        .build())),
                        Concern.NO_EFFECT,
                        "route lost"),
                finding(
                        "service without a route",
                        new ReviewedConfig(List.of(SHOP), Map.of("shop", 1, "idle", 1), Set.of(), Organisations.NONE),
                        Concern.NO_EFFECT,
                        "service idle"),
                finding(
                        "anonymous without organisations",
                        config(List.of(route("open", "/open/")
                                .access(new RouteAccess(true, Set.of()))
                                .build())),
                        Concern.NO_EFFECT,
                        "route open"),
                finding(
                        "organisation without keys",
                        config(List.of(SHOP), organisation("mute", Set.of(), Quota.UNLIMITED, Set.of())),
                        Concern.NEVER_MATCHES,
                        "organisation mute"),
                finding(
                        "quota below one call",
                        config(List.of(SHOP), organisation("small", Set.of("k"), new Quota(0.5, 0), Set.of())),
                        Concern.CONTRADICTION,
                        "organisation small"),
                finding(
                        "homes without a common region",
                        config(List.of(homed), organisation("far", Set.of("k"), Quota.UNLIMITED, Set.of("east"))),
                        Concern.CONTRADICTION,
                        "organisation far"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("configurations")
    void findsWhatCannotWork(String name, ReviewedConfig config, Optional<Concern> concern, String entry) {
        List<ReviewFinding> findings = ConfigReview.findings(config);
        assertEquals(
                concern.stream().toList(),
                findings.stream().map(ReviewFinding::concern).toList());
        assertEquals(
                concern.map(found -> entry).stream().toList(),
                findings.stream().map(ReviewFinding::entry).toList());
    }

    private static Stream<Arguments> differences() {
        Organisation larger = organisation("member", Set.of("hash"), new Quota(9, 5), Set.of());
        return Stream.of(
                Arguments.of(config(List.of(SHOP), MEMBER), config(List.of(SHOP), MEMBER), List.of()),
                Arguments.of(
                        config(List.of(SHOP), MEMBER),
                        config(List.of(SHOP), larger),
                        List.of(new EntryChange("organisation member", Change.CHANGED))),
                Arguments.of(
                        config(List.of(SHOP)),
                        config(List.of(route("new", "/new/").build()), MEMBER),
                        List.of(
                                new EntryChange("organisation member", Change.ADDED),
                                new EntryChange("route new", Change.ADDED),
                                new EntryChange("route shop", Change.REMOVED))));
    }

    @ParameterizedTest(name = "{2}")
    @MethodSource("differences")
    void tellsWhatDiffers(ReviewedConfig before, ReviewedConfig after, List<EntryChange> expected) {
        assertEquals(expected, ConfigReview.changes(before, after));
    }
}
