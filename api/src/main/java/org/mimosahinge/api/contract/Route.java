package org.mimosahinge.api.contract;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A rule that routes matching requests to one or more services.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
 *
 * @param name unique within the section
 * @param host host name that requests must match; empty matches any host
 * @param pathPrefix path prefix; the longest matching prefix wins
 * @param shares target services with their weights, at least one
 * @param callClass priority of the calls
 * @param timeout maximum time until a call is answered
 * @param targetLatency time within which a response is fully useful to the caller
 * @param maxAttempts maximum number of endpoints to which a call is sent
 * @param idempotent whether a call may safely run more than once
 * @param atMostOnce whether a call needs an idempotency key and runs at most once
 * @param resources resources that the route requires
 * @param access who may call the route, and where
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
        Set<String> resources,
        RouteAccess access) {

    /** Default for {@link #maxAttempts}; further attempts rarely succeed. */
    public static final int DEFAULT_MAX_ATTEMPTS = 4;

    /** Makes immutable copies of the collections. */
    public Route {
        shares = List.copyOf(shares);
        resources = Set.copyOf(resources);
    }

    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof Route route
                        && maxAttempts == route.maxAttempts
                        && idempotent == route.idempotent
                        && atMostOnce == route.atMostOnce
                        && callClass == route.callClass
                        && name.equals(route.name)
                        && host.equals(route.host)
                        && pathPrefix.equals(route.pathPrefix)
                        && timeout.equals(route.timeout)
                        && targetLatency.equals(route.targetLatency)
                        && shares.equals(route.shares)
                        && resources.equals(route.resources)
                        && access.equals(route.access);
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + pathPrefix.hashCode();
    }

    /**
     * Returns the name of the first target service.
     *
     * @return the service name
     */
    public String firstService() {
        return shares.get(0).service();
    }

    /**
     * Returns a copy of this route with another priority.
     *
     * @param newCallClass priority of the calls
     * @return the copy
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
                resources,
                access);
    }

    /**
     * Returns a copy of this route with another name.
     *
     * @param newName name of the copy
     * @return the copy
     */
    public Route withName(String newName) {
        return new Route(
                newName,
                host,
                pathPrefix,
                shares,
                callClass,
                timeout,
                targetLatency,
                maxAttempts,
                idempotent,
                atMostOnce,
                resources,
                access);
    }

    /**
     * Returns a builder with default values.
     *
     * @param name unique within the section
     * @return the builder
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Builder for {@link Route}. */
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
        private RouteAccess access = RouteAccess.STANDARD;

        private Builder(String name) {
            this.name = name;
        }

        /**
         * Sets the host name and path prefix that requests must match.
         *
         * @param newHost host name; empty matches any host
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
         * @param newShares target services with their weights
         * @return this builder
         */
        public Builder shares(List<ServiceShare> newShares) {
            shares = newShares;
            return this;
        }

        /**
         * Sets the priority of the calls.
         *
         * @param newCallClass the priority class
         * @return this builder
         */
        public Builder callClass(CallClass newCallClass) {
            callClass = newCallClass;
            return this;
        }

        /**
         * Sets the timeout and the target latency.
         *
         * @param newTimeout maximum time until a call is answered
         * @param newTargetLatency time within which a response is fully useful
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
         * @param newMaxAttempts maximum number of endpoints to which a call is sent
         * @param newIdempotent whether a call may safely run more than once
         * @return this builder
         */
        public Builder attempts(int newMaxAttempts, boolean newIdempotent) {
            maxAttempts = newMaxAttempts;
            idempotent = newIdempotent;
            return this;
        }

        /**
         * Sets who may call and where calls may be served.
         *
         * @param newAccess who may call, and where
         * @return this builder
         */
        public Builder access(RouteAccess newAccess) {
            access = newAccess;
            return this;
        }

        /**
         * Builds the route.
         *
         * @return the route, neither at-most-once nor with required resources
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
                    Set.of(),
                    access);
        }
    }
}
