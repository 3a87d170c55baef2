package org.mimosahinge.standin.backend;

import java.util.Locale;

/** The life cycle that a backend server announces. */
public enum Phase {
    /** Not yet warm. */
    STARTING,
    /** Takes calls. */
    READY,
    /** Finishes its calls and asks for no new ones. */
    DRAINING,
    /** Has finished all calls and is about to stop. */
    LEAVING;

    String announcedState() {
        return name().toLowerCase(Locale.ROOT);
    }
}
