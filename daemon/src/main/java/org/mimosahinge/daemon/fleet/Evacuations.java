package org.mimosahinge.daemon.fleet;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.net.log.EventLog;

/** The availability zones that operators have ordered to be evacuated; only the control thread may use it. */
final class Evacuations {

    private static final EventLog LOG = EventLog.of("fleet");

    private final Set<String> zones = new TreeSet<>();
    private final Consumer<Set<String>> listener;

    /**
     * Creates the state without an evacuated zone.
     *
     * @param listener receives the evacuated zones after each change
     */
    Evacuations(Consumer<Set<String>> listener) {
        this.listener = listener;
    }

    /**
     * Applies the newest revision of an order.
     *
     * @param row the order
     * @param revision revision of its row
     * @param source node that sent the row, or the platform
     * @return whether the evacuated zones have changed
     */
    boolean apply(DecodedRow.EvacuationRow row, StorePosition revision, String source) {
        boolean changed = row.ended() ? zones.remove(row.zone()) : zones.add(row.zone());
        if (changed) {
            LOG.info(
                    "evacuation",
                    "zone",
                    row.zone(),
                    "state",
                    row.ended() ? "ended" : "ordered",
                    "revision",
                    revision,
                    "source",
                    source);
            listener.accept(zones);
        }
        return changed;
    }
}
