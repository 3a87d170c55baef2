package org.mimosahinge.daemon.traffic;

/** Takes what traffic threads report; called on traffic threads, so it must not block. */
@FunctionalInterface
public interface TrafficListener {

    /**
     * Takes an event.
     *
     * @param event the event
     */
    void on(TrafficEvent event);
}
