package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Quota;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.core.organisation.OrganisationBounds;

/** Guards against keys that are used after a pause of the process, in which no periodic work can end their use. */
class RevocationGuardTest {

    private static final long VERSION = 3;

    /** The node's clock when the request was sent whose response shows {@link #PLATFORM_MS}. */
    private static final long SENT_MS = 1_000;

    private static final long PLATFORM_MS = 77_000;

    private long nowMs = SENT_MS;

    private RevocationGuard guard(boolean strict) {
        return new RevocationGuard(bounds(strict), () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private static OrganisationBounds bounds(boolean strict) {
        return new OrganisationBounds(strict, Duration.ofSeconds(5), Duration.ofSeconds(5), 0, 0);
    }

    private static Snapshot snapshot(long version, boolean organisations) {
        Organisations configured = organisations
                ? Organisations.of(
                        List.of(new Organisation("alpha", Set.of(), Optional.empty(), Quota.UNLIMITED, Set.of())))
                : Organisations.NONE;
        return new Snapshot(
                version,
                new TreeMap<>(),
                Map.of(),
                Map.of(),
                List.of(),
                Map.of(),
                Map.of(),
                Set.of(),
                true,
                CallerLimits.DEFAULT,
                new TrafficRules(configured, Map.of(), Set.of()));
    }

    private RevocationGuard proven() {
        RevocationGuard guard = guard(true);
        nowMs = SENT_MS + 20;
        guard.responseReceived(PLATFORM_MS, TimeUnit.MILLISECONDS.toNanos(SENT_MS));
        guard.proven(VERSION, PLATFORM_MS);
        return guard;
    }

    /** A message that waited in a buffer during the pause must not renew the proof by its arrival. */
    @ParameterizedTest(name = "paused for {0} ms, then a reading {1} ms after the first: covered {2}")
    @CsvSource({
        "3900, 0, true",
        "4100, 0, false",
        "30000, 0, false",
        "30000, 1000, false",
        "30000, 29000, true",
    })
    void aPauseCountsWithoutAnyTick(long pauseMs, long readingMs, boolean covered) {
        RevocationGuard guard = proven();
        assertEquals(true, guard.covers(snapshot(VERSION, true)));
        nowMs = SENT_MS + pauseMs;
        guard.proven(VERSION, PLATFORM_MS + readingMs);
        assertEquals(covered, guard.covers(snapshot(VERSION, true)));
        assertEquals(false, guard.covers(snapshot(VERSION - 1, true)), "a call that read an earlier version");
        assertEquals(covered, guard.update(snapshot(VERSION, true)));
        assertEquals(true, guard.update(snapshot(VERSION, false)), "readiness without organisations");
        guard.reload(bounds(false));
        assertEquals(true, guard.covers(snapshot(VERSION, true)));
    }

    /** A rejected row would otherwise count as read, here and at the nodes to which this one passes rows on. */
    @ParameterizedTest(name = "strict {0}, applied {1}, rejected {2}: held {3}")
    @CsvSource({"true, 5, 0, true", "true, 5, 6, false", "true, 7, 6, true", "false, 5, 6, true"})
    void aRejectedConfigurationIsNotHeld(boolean strict, long applied, long rejected, boolean held) {
        RevocationGuard guard = guard(strict);
        guard.configurationRead(new StorePosition(0, applied));
        guard.configurationRejected(new StorePosition(0, rejected));
        assertEquals(held, guard.newestConfigurationHeld());
    }

    /** Without the requests, a node that is no reader would lose its proof as the clocks drift apart. */
    @ParameterizedTest(name = "strict {0}, organisations {1}, response within {2} ms, after {3} ms: {4}")
    @CsvSource({
        "true, true, , 2000, true",
        "true, true, , 1999, false",
        "true, true, 20, 10000, false",
        "true, true, 20, 700000, true",
        "true, true, 800, 29999, false",
        "true, true, 800, 30000, true",
        "true, false, , 2000, false",
        "false, true, , 2000, false"
    })
    void asksForTheClockWhenItsBoundIsMissingOrWide(
            boolean strict, boolean organisations, Long responseMs, long afterMs, boolean expected) {
        RevocationGuard guard = guard(strict);
        if (responseMs != null) {
            nowMs = SENT_MS + responseMs;
            guard.responseReceived(PLATFORM_MS, TimeUnit.MILLISECONDS.toNanos(SENT_MS));
        }
        nowMs = SENT_MS + afterMs;
        assertEquals(expected, guard.requestsClock(snapshot(VERSION, organisations)));
        assertEquals(false, guard.requestsClock(snapshot(VERSION, organisations)), "not at each tick");
    }
}
