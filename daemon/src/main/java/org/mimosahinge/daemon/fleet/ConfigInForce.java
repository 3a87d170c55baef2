package org.mimosahinge.daemon.fleet;

import java.util.Optional;
import java.util.function.Consumer;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.net.log.EventLog;

/** The operators' configuration in force on a node, which never goes back to an earlier version. */
final class ConfigInForce {

    private static final EventLog LOG = EventLog.of("fleet");

    private final Consumer<FleetConfig> listener;
    private Optional<FleetConfig> config = Optional.empty();

    /**
     * Creates the state without a configuration.
     *
     * @param listener receives each configuration that comes into force
     */
    ConfigInForce(Consumer<FleetConfig> listener) {
        this.listener = listener;
    }

    boolean isEmpty() {
        return config.isEmpty();
    }

    private long version() {
        return config.map(FleetConfig::version).orElse(0L);
    }

    /** Returns whether a row has an earlier version, as when the platform has come back from an older copy. */
    boolean isLaterThan(FleetConfig other) {
        return other.version() < version();
    }

    /** Puts a configuration in force if its version is later, and returns whether it is. */
    boolean apply(FleetConfig next, StorePosition revision, String source) {
        long before = version();
        if (next.version() <= before) {
            logIgnored(next, revision);
            return false;
        }
        config = Optional.of(next);
        listener.accept(next);
        LOG.info(
                "update_applied",
                "version",
                next.version(),
                "before",
                before,
                "routes",
                next.routes().size(),
                "revision",
                revision,
                "source",
                source);
        return true;
    }

    void logIgnored(FleetConfig ignored, StorePosition revision) {
        LOG.info("update_ignored", "version", ignored.version(), "held", version(), "revision", revision);
    }
}
