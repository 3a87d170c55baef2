package org.mimosahinge.standin.backend;

import java.util.ArrayDeque;
import java.util.Queue;

/** Holds actions back while the server is frozen; used by one thread. */
final class FreezeGate {

    private final Queue<Runnable> held = new ArrayDeque<>();
    private boolean frozen;

    void run(Runnable action) {
        if (frozen) {
            held.add(action);
        } else {
            action.run();
        }
    }

    void set(boolean value) {
        frozen = value;
        while (!frozen && !held.isEmpty()) {
            held.poll().run();
        }
    }
}
