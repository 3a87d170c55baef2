package org.mimosahinge.api.settings;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/**
 * Settings of a daemon.
 *
 * @param nodeId identity of the node
 * @param zone availability zone of the VM
 * @param callerAddress address that accepts callers' HTTP requests
 * @param peerAddress address that accepts frames from other nodes
 * @param operatorAddress address of the operator API
 * @param platformAddress address of the platform's table service and object store
 * @param storeRegion region in which the platform's store is located
 * @param interests services that callers of this node use; empty for all services
 * @param leaseTtl time to live of a lease
 * @param heartbeat interval of heartbeats and lease renewals
 * @param headPoll interval at which the gateway of the store region reads the head
 * @param logSampling every n-th call decision is logged
 */
public record NodeSettings(
        NodeId nodeId,
        AvailabilityZone zone,
        HostPort callerAddress,
        HostPort peerAddress,
        HostPort operatorAddress,
        HostPort platformAddress,
        Region storeRegion,
        Set<String> interests,
        Duration leaseTtl,
        Duration heartbeat,
        Duration headPoll,
        int logSampling) {
    /** Default for {@link #leaseTtl}. */
    public static final Duration DEFAULT_LEASE_TTL = Duration.ofSeconds(3);
    /** Default for {@link #heartbeat}. */
    public static final Duration DEFAULT_HEARTBEAT = Duration.ofSeconds(1);
    /** Default for {@link #headPoll}. */
    public static final Duration DEFAULT_HEAD_POLL = Duration.ofSeconds(1);
    /** Default for {@link #logSampling}. */
    public static final int DEFAULT_LOG_SAMPLING = 1000;

    /** Makes an immutable copy of the interests. */
    public NodeSettings {
        interests = Set.copyOf(interests);
    }

    /**
     * Returns the region of the node.
     *
     * @return the region of the availability zone
     */
    public Region region() {
        return zone.region();
    }

    /**
     * Returns a builder with default values.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builder for {@link NodeSettings}. Names and addresses have no default and must be set. */
    public static final class Builder {
        private String nodeId;
        private String zone;
        private String region;
        private HostPort callerAddress;
        private HostPort peerAddress;
        private HostPort operatorAddress;
        private HostPort platformAddress;
        private String storeRegion;
        private Set<String> interests = Set.of();
        private Duration leaseTtl = DEFAULT_LEASE_TTL;
        private Duration heartbeat = DEFAULT_HEARTBEAT;
        private Duration headPoll = DEFAULT_HEAD_POLL;
        private int logSampling = DEFAULT_LOG_SAMPLING;

        private Builder() {}

        public Builder nodeId(String value) {
            nodeId = value;
            return this;
        }

        public Builder zone(String value) {
            zone = value;
            return this;
        }

        public Builder region(String value) {
            region = value;
            return this;
        }

        public Builder callerAddress(HostPort value) {
            callerAddress = value;
            return this;
        }

        public Builder peerAddress(HostPort value) {
            peerAddress = value;
            return this;
        }

        public Builder operatorAddress(HostPort value) {
            operatorAddress = value;
            return this;
        }

        public Builder platformAddress(HostPort value) {
            platformAddress = value;
            return this;
        }

        public Builder storeRegion(String value) {
            storeRegion = value;
            return this;
        }

        public Builder interests(Set<String> value) {
            interests = value;
            return this;
        }

        public Builder leaseTtl(Duration value) {
            leaseTtl = value;
            return this;
        }

        public Builder heartbeat(Duration value) {
            heartbeat = value;
            return this;
        }

        public Builder headPoll(Duration value) {
            headPoll = value;
            return this;
        }

        public Builder logSampling(int value) {
            logSampling = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         * @throws NullPointerException if a name or address is not set
         */
        public NodeSettings build() {
            return new NodeSettings(
                    new NodeId(Objects.requireNonNull(nodeId, "nodeId")),
                    new AvailabilityZone(
                            Objects.requireNonNull(zone, "zone"), new Region(Objects.requireNonNull(region, "region"))),
                    Objects.requireNonNull(callerAddress, "callerAddress"),
                    Objects.requireNonNull(peerAddress, "peerAddress"),
                    Objects.requireNonNull(operatorAddress, "operatorAddress"),
                    Objects.requireNonNull(platformAddress, "platformAddress"),
                    new Region(Objects.requireNonNull(storeRegion, "storeRegion")),
                    interests,
                    leaseTtl,
                    heartbeat,
                    headPoll,
                    logSampling);
        }
    }
}
