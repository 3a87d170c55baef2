package org.mimosahinge.standin.backend;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.mimosahinge.api.world.HostPort;

/**
 * Settings of a backend server.
 *
 * @param service the service it belongs to
 * @param version the version it runs
 * @param listen its HTTP address; port 0 picks a free port
 * @param node operator port of the node beside it; if absent, the server does not announce itself
 * @param slots maximum of concurrent calls
 * @param connections maximum of open connections
 * @param resources names of the resources that it offers
 * @param coldStart duration of the warm-up after the start
 * @param minimumDrain minimum time in draining even without calls, because other nodes may still route calls to it
 * @param seed seed of the random selection of calls that fail
 */
public record BackendSettings(
        String service,
        String version,
        HostPort listen,
        Optional<HostPort> node,
        int slots,
        int connections,
        Set<String> resources,
        Duration coldStart,
        Duration minimumDrain,
        long seed) {

    /** Makes an immutable copy of the resources. */
    public BackendSettings {
        resources = Set.copyOf(resources);
    }

    /**
     * Starts a builder.
     *
     * @param service the service
     * @param version the version
     * @return a builder with 20 slots, 130 connections and a free port of the loopback interface
     */
    public static Builder of(String service, String version) {
        return new Builder(service, version);
    }

    /** Builder of settings. */
    public static final class Builder {
        private final String service;
        private final String version;
        private HostPort listen = new HostPort("127.0.0.1", 0);
        private Optional<HostPort> node = Optional.empty();
        private int slots = 20;
        private int connections = 130;
        private Set<String> resources = Set.of();
        private Duration coldStart = Duration.ZERO;
        private Duration minimumDrain = Duration.ofSeconds(3);
        private long seed = 1;

        private Builder(String service, String version) {
            this.service = Objects.requireNonNull(service);
            this.version = Objects.requireNonNull(version);
        }

        /**
         * Sets the HTTP address.
         *
         * @param value the address
         * @return this builder
         */
        public Builder listen(HostPort value) {
            listen = value;
            return this;
        }

        /**
         * Sets the node beside the server.
         *
         * @param value its operator port
         * @return this builder
         */
        public Builder node(HostPort value) {
            node = Optional.of(value);
            return this;
        }

        /**
         * Sets the slots.
         *
         * @param value maximum of concurrent calls
         * @return this builder
         */
        public Builder slots(int value) {
            slots = value;
            return this;
        }

        /**
         * Sets the connections.
         *
         * @param value maximum of open connections
         * @return this builder
         */
        public Builder connections(int value) {
            connections = value;
            return this;
        }

        /**
         * Sets the resources.
         *
         * @param value names of the resources
         * @return this builder
         */
        public Builder resources(Set<String> value) {
            resources = value;
            return this;
        }

        /**
         * Sets the duration of the warm-up.
         *
         * @param value the duration
         * @return this builder
         */
        public Builder coldStart(Duration value) {
            coldStart = value;
            return this;
        }

        /**
         * Sets the minimum time in draining.
         *
         * @param value the time
         * @return this builder
         */
        public Builder minimumDrain(Duration value) {
            minimumDrain = value;
            return this;
        }

        /**
         * Sets the seed.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public BackendSettings build() {
            return new BackendSettings(
                    service, version, listen, node, slots, connections, resources, coldStart, minimumDrain, seed);
        }
    }
}
