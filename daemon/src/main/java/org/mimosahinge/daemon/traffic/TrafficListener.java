package org.mimosahinge.daemon.traffic;

/** Receives events of traffic threads; called on these threads, so it must not block. */
@FunctionalInterface
public interface TrafficListener {

    /**
     * Handles an event.
     *
     * @param event the event
     */
    void on(TrafficEvent event);
}
