package org.mimosahinge.api.world;

/** Lifecycle state of an endpoint, as distributed to other nodes. */
public enum EndpointState {
    /** Announced, but still warming up. */
    STARTING,
    /** Accepts new calls. */
    READY,
    /** Completes calls in flight and accepts no new ones. */
    DRAINING,
    /** Deregistered or presumed dead. */
    GONE
}
