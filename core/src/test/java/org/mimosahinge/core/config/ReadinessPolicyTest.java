package org.mimosahinge.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.core.Samples;
import org.mimosahinge.core.lease.HeldLease;

/** Guards against a restarted node that serves an older version than before its restart. */
class ReadinessPolicyTest {
    private static final HeldLease LEASE = new HeldLease("lease/relay/west-1", 40, 7, 1_000, 5_000);

    @ParameterizedTest(name = "connected at {0} ns, head at start {1}, relay at {2}: requires {3}")
    @CsvSource({"4999, 5, 5, 5", "4999, 5, 6, 6", "4999, 6, 5, ", "5000, 5, 5, ", "9000, 5, 5, "})
    void relayRequiresAVersionOnlyWithAValidLeaseAndTheHeadOfItsTerm(
            long connectNanos, long headVersionAtStart, long version, Long required) {
        Snapshot relay = Samples.snapshot(version, Samples.section("listings", "listings"));
        OptionalLong expected = required == null ? OptionalLong.empty() : OptionalLong.of(required);
        assertEquals(
                expected,
                ReadinessPolicy.requiredVersion(new RelayTerm(LEASE, headVersionAtStart), relay, connectNanos));
    }

    @ParameterizedTest(name = "read epoch {0} at {1} ns: applied {2}")
    @CsvSource({"7, 9000, true", "8, 1000, false", ", 4999, true", ", 5000, false"})
    void relayAppliesOnlyWhatItsTermCovers(Long readEpoch, long nanos, boolean applied) {
        OptionalLong epoch = readEpoch == null ? OptionalLong.empty() : OptionalLong.of(readEpoch);
        assertEquals(applied, ReadinessPolicy.relayMayApply(LEASE, epoch, nanos));
    }

    @ParameterizedTest(name = "proven {0}, applied {1}, required {2}: ready {3}")
    @CsvSource({"false, 5, , false", "false, 5, 6, false", "false, 5, 5, true", "false, 6, 5, true", "true, 5, 6, true"
    })
    void nodeIsReadyFromTheRequiredVersionOn(boolean proven, long version, Long required, boolean ready) {
        Snapshot snapshot = SnapshotBuilder.withProvenCurrent(
                Samples.snapshot(version, Samples.section("listings", "listings")), proven);
        OptionalLong requiredVersion = required == null ? OptionalLong.empty() : OptionalLong.of(required);
        assertEquals(ready, ReadinessPolicy.ready(snapshot, requiredVersion));
    }
}
