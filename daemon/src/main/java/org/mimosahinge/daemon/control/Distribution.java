package org.mimosahinge.daemon.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.error.UpdateRejectedException;
import org.mimosahinge.core.config.ReadinessPolicy;
import org.mimosahinge.core.config.SnapshotBuilder;
import org.mimosahinge.core.config.UpdateBuilder;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** Applies configuration updates and forwards them to the children. */
final class Distribution {

    private static final EventLog LOG = EventLog.of("config");

    /** Snapshots retained to build deltas; a child that is further behind gets the full state. */
    private static final int RETAINED_VERSIONS = 16;

    private final SnapshotReference snapshots;
    private final ControlLinks links;
    private final Deque<Snapshot> history = new ArrayDeque<>();
    private OptionalLong requiredVersion = OptionalLong.empty();

    Distribution(SnapshotReference snapshots, ControlLinks links) {
        this.snapshots = snapshots;
        this.links = links;
    }

    /**
     * Applies an update. Returns false only if there is a gap to the current version, so that the full state is needed.
     */
    boolean apply(ConfigUpdate update) {
        Snapshot current = snapshots.get();
        SnapshotBuilder.Fit fit = SnapshotBuilder.fit(current, update);
        if (fit != SnapshotBuilder.Fit.NEXT) {
            LOG.info("update_ignored", "version", update.version(), "current", current.version(), "fit", fit);
            return fit == SnapshotBuilder.Fit.STALE;
        }
        try {
            putInForce(SnapshotBuilder.apply(current, update));
            LOG.info("update_applied", "version", update.version(), "previous", current.version());
            push();
            return true;
        } catch (UpdateRejectedException e) {
            LOG.warn(
                    "update_rejected",
                    "version",
                    update.version(),
                    "current",
                    current.version(),
                    "error",
                    e.getMessage());
            return true;
        }
    }

    /**
     * Sets the version that this node must reach before it accepts calls from callers; the first version set counts.
     */
    void requireVersion(long version) {
        if (requiredVersion.isEmpty()) {
            requiredVersion = OptionalLong.of(version);
        }
        putInForce(snapshots.get());
    }

    private void putInForce(Snapshot next) {
        boolean ready = ReadinessPolicy.ready(next, requiredVersion);
        if (ready && !next.provenCurrent()) {
            LOG.info("ready", "version", next.version(), "required", requiredVersion.orElse(0));
        }
        Snapshot published = SnapshotBuilder.withProvenCurrent(next, ready);
        snapshots.replace(published);
        if (history.isEmpty() || history.getLast().version() < published.version()) {
            history.addLast(published);
        }
        if (history.size() > RETAINED_VERSIONS) {
            history.removeFirst();
        }
    }

    /** Sends the version in force to every child that lacks it. */
    void push() {
        links.children().forEach(this::pushTo);
    }

    /** Sends the version in force to one child if it lacks it. */
    void pushTo(ControlLink child) {
        Snapshot current = snapshots.get();
        if (child.versionSent() < current.version()) {
            ConfigUpdate update = retainedSnapshot(child.versionSent())
                    .map(base -> UpdateBuilder.delta(base, current))
                    .orElseGet(() -> UpdateBuilder.fullState(current));
            child.send(new Frame.Config(update, 0));
            child.markSent(current.version());
        }
    }

    /** Sends the full state to a child that reported a gap. */
    void sendFull(ControlLink child) {
        Snapshot current = snapshots.get();
        if (current.version() > 0) {
            child.send(new Frame.Config(UpdateBuilder.fullState(current), 0));
            child.markSent(current.version());
        }
    }

    private Optional<Snapshot> retainedSnapshot(long version) {
        return history.stream()
                .filter(snapshot -> snapshot.version() == version && version > 0)
                .findFirst();
    }
}
