package org.mimosahinge.api.document;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.operator.DocumentView;
import org.mimosahinge.api.operator.OperatorJson;
import org.mimosahinge.api.settings.NodeSettings;

class RoundTripTest {

    /** Guards against rejecting a valid section or parsing wrong values. */
    @Test
    void parsesTheExampleSection() {
        Section section = SectionParser.parse("listings.json", TestDocuments.utf8(TestDocuments.SECTION));
        assertEquals("listings", section.team());
        assertEquals(CallClass.INTERACTIVE, section.routes().get(0).callClass());
        assertEquals(Duration.ofSeconds(2), section.routes().get(0).timeout());
        assertEquals(section, SectionParser.parse("canonical", SectionParser.toJson(section)));
        assertEquals(List.of(), DocumentValidator.validate(Map.of("listings", section)));
        DocumentView view = new DocumentView(7, List.of(new DocumentView.SectionView("listings", 3, section)));
        assertEquals(view, OperatorJson.decode(DocumentView.class, OperatorJson.encode(view)));
    }

    /** Guards against missing default values of settings. */
    @Test
    void readsSettingsWithDefaults() {
        NodeSettings settings = SettingsParser.parse("node.json", TestDocuments.utf8(TestDocuments.SETTINGS));
        assertEquals("10.0.0.7:7070", settings.peerAddress().toString());
        assertEquals("ch-west", settings.region().name());
        assertEquals(Duration.ofSeconds(3), settings.leaseTtl());
        assertEquals(1000, settings.logSampling());
    }

    /** Guards against a canonical form that loses or alters parts of a section. */
    @Property(seed = "7", tries = 200)
    void canonicalFormParsesBackToAnEqualSection(@ForAll("sections") Section section) {
        byte[] json = SectionParser.toJson(section);
        assertEquals(section, SectionParser.parse("canonical", json));
        assertArrayEquals(json, SectionParser.toJson(SectionParser.parse("canonical", json)));
    }

    @Provide
    Arbitrary<Section> sections() {
        Arbitrary<String> names = Arbitraries.of("a", "b-2", "listings", "orders");
        Arbitrary<Set<String>> sets = names.set().ofMaxSize(3);
        Arbitrary<Duration> timeouts = Arbitraries.longs().between(1, 3_600_000).map(Duration::ofMillis);
        Arbitrary<Optional<Move>> moves = Arbitraries.longs()
                .between(1_000_000_000_000L, 2_000_000_000_000L)
                .map(Instant::ofEpochMilli)
                .map(start -> new Move("v2", start, start.plusMillis(1)))
                .optional();
        Arbitrary<ServiceLimits> limits = Combinators.combine(
                        Arbitraries.integers().between(0, 65_536),
                        Arbitraries.integers().between(0, 100))
                .as(ServiceLimits::new);
        Arbitrary<Service> services = Combinators.combine(names, moves, limits)
                .as((name, move, limit) -> new Service(name, List.of("v1", "v2"), "v1", move, limit));
        Arbitrary<Route> routes = Combinators.combine(names, names, Arbitraries.of(CallClass.class), timeouts, sets)
                .flatAs((name, service, callClass, timeout, resources) -> Arbitraries.of(0, 1, 2)
                        .map(once -> new Route(
                                name,
                                "",
                                "/" + name,
                                List.of(new ServiceShare(service, 1)),
                                callClass,
                                timeout,
                                timeout,
                                Route.DEFAULT_MAX_ATTEMPTS,
                                once == 1,
                                once == 2,
                                resources,
                                RouteAccess.STANDARD)));
        return Combinators.combine(
                        names,
                        sets,
                        services.list().uniqueElements(Service::name).ofMaxSize(3),
                        routes.list().uniqueElements(Route::name).ofMaxSize(3))
                .as(Section::new);
    }
}
