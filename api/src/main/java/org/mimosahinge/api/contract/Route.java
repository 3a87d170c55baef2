package org.mimosahinge.api.contract;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A rule that sends matching requests to one or more services.
 *
 * @param name unique within the section
 * @param host host name that requests must carry, empty for any
 * @param pathPrefix matches request paths by longest prefix
 * @param shares the target services with their weights, at least one
 * @param callClass priority of the calls
 * @param timeout longest time until a call is answered
 * @param targetLatency time within which an answer has its full use for the caller
 * @param maxAttempts endpoints that one call may reach at most
 * @param idempotent whether a call may safely run twice
 * @param atMostOnce whether a call needs an idempotency key and runs at most once
 * @param resources resources that the route needs
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        List<ServiceShare> shares,
        CallClass callClass,
        Duration timeout,
        Duration targetLatency,
        int maxAttempts,
        boolean idempotent,
        boolean atMostOnce,
        Set<String> resources) {

    /** Endpoints that one call may reach where a document states no number; further ones rarely succeed. */
    public static final int DEFAULT_MAX_ATTEMPTS = 4;

    /** Copies the collections. */
    public Route {
        shares = List.copyOf(shares);
        resources = Set.copyOf(resources);
    }

    /**
     * Returns the first target service.
     *
     * @return its name
     */
    public String firstService() {
        return shares.get(0).service();
    }

    /**
     * Returns the same route with another priority.
     *
     * @param newCallClass the priority
     * @return the route
     */
    public Route withCallClass(CallClass newCallClass) {
        return new Route(
                name,
                host,
                pathPrefix,
                shares,
                newCallClass,
                timeout,
                targetLatency,
                maxAttempts,
                idempotent,
                atMostOnce,
                resources);
    }

    /**
     * Starts a route with default values.
     *
     * @param name unique within the section
     * @return the builder
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Collects the parts of a route. */
    public static final class Builder {

        private final String name;
        private String host = "";
        private String pathPrefix = "/";
        private List<ServiceShare> shares = List.of();
        private CallClass callClass = CallClass.INTERACTIVE;
        private Duration timeout = Duration.ofSeconds(30);
        private Duration targetLatency = Duration.ofSeconds(30);
        private int maxAttempts = DEFAULT_MAX_ATTEMPTS;
        private boolean idempotent;

        private Builder(String name) {
            this.name = name;
        }

        /**
         * Sets what requests match.
         *
         * @param newHost host name, empty for any
         * @param newPathPrefix path prefix
         * @return this builder
         */
        public Builder matching(String newHost, String newPathPrefix) {
            host = newHost;
            pathPrefix = newPathPrefix;
            return this;
        }

        /**
         * Sets the target services.
         *
         * @param newShares services with weights
         * @return this builder
         */
        public Builder shares(List<ServiceShare> newShares) {
            shares = newShares;
            return this;
        }

        /**
         * Sets the priority.
         *
         * @param newCallClass the class
         * @return this builder
         */
        public Builder callClass(CallClass newCallClass) {
            callClass = newCallClass;
            return this;
        }

        /**
         * Sets the times.
         *
         * @param newTimeout longest time until an answer
         * @param newTargetLatency time within which an answer has its full use
         * @return this builder
         */
        public Builder latency(Duration newTimeout, Duration newTargetLatency) {
            timeout = newTimeout;
            targetLatency = newTargetLatency;
            return this;
        }

        /**
         * Sets how often a call may be sent.
         *
         * @param newMaxAttempts endpoints at most
         * @param newIdempotent whether a call may safely run twice
         * @return this builder
         */
        public Builder attempts(int newMaxAttempts, boolean newIdempotent) {
            maxAttempts = newMaxAttempts;
            idempotent = newIdempotent;
            return this;
        }

        /**
         * Builds the route.
         *
         * @return the route
         */
        public Route build() {
            return new Route(
                    name,
                    host,
                    pathPrefix,
                    shares,
                    callClass,
                    timeout,
                    targetLatency,
                    maxAttempts,
                    idempotent,
                    false,
                    Set.of());
        }
    }
}
