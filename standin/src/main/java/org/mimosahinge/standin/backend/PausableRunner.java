package org.mimosahinge.standin.backend;

import java.util.ArrayDeque;
import java.util.Queue;

/** Runs actions, or queues them while the server is frozen; confined to one thread. */
final class PausableRunner {

    private final Queue<Runnable> paused = new ArrayDeque<>();
    private boolean frozen;

    void run(Runnable action) {
        if (frozen) {
            paused.add(action);
        } else {
            action.run();
        }
    }

    void setFrozen(boolean value) {
        frozen = value;
        while (!frozen && !paused.isEmpty()) {
            paused.poll().run();
        }
    }
}
