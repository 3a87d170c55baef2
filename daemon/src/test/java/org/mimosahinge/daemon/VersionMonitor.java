package org.mimosahinge.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Watches the version in force on every daemon and counts changes to an older one. */
final class VersionMonitor implements AutoCloseable {

    private final AtomicInteger reversals = new AtomicInteger();
    private final Map<Daemon, Long> highest = new HashMap<>();
    private final Thread thread;
    private volatile boolean stopped;

    VersionMonitor(LocalFleet fleet) {
        thread = new Thread(() -> watch(fleet), "version-monitor");
        thread.start();
    }

    private void watch(LocalFleet fleet) {
        while (!stopped) {
            List<Daemon> daemons = new ArrayList<>(fleet.daemons());
            for (Daemon daemon : daemons) {
                long version = daemon.version();
                if (version < highest.getOrDefault(daemon, 0L)) {
                    reversals.incrementAndGet();
                }
                highest.merge(daemon, version, Math::max);
            }
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    int reversals() {
        return reversals.get();
    }

    @Override
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
