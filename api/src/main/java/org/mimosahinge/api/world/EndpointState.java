package org.mimosahinge.api.world;

/** The life cycle of an endpoint as other nodes see it. */
public enum EndpointState {
    /** Announced but not yet warm. */
    STARTING,
    /** Takes new calls. */
    READY,
    /** Finishes its calls and takes no new ones. */
    DRAINING,
    /** Left or presumed dead. */
    GONE
}
