package org.mimosahinge.standin.backend;

import java.util.Locale;

/** Phase of a backend server's life cycle, as it announces it. */
public enum Phase {
    /** Still warming up. */
    STARTING,
    /** Accepts calls. */
    READY,
    /** Finishes its calls and should get no new ones. */
    DRAINING,
    /** Has finished all calls and is about to stop. */
    LEAVING;

    String announcedState() {
        return name().toLowerCase(Locale.ROOT);
    }
}
