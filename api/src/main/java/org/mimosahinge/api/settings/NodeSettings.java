package org.mimosahinge.api.settings;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/**
 * Settings of one daemon.
 *
 * @param nodeId identity of the node
 * @param zone zone of the VM, with its region
 * @param callerAddress address for callers' HTTP requests
 * @param peerAddress address for frames from other nodes
 * @param operatorAddress address of the operator port
 * @param platformAddress address of the platform's table service and object store
 * @param storeRegion region that holds the platform's store
 * @param interests services that this node's callers use; empty means all
 * @param leaseTtl time to live of a lease
 * @param heartbeat interval of heartbeats and lease renewals
 * @param headPoll interval at which the store region's gateway reads the head
 * @param logSampling logs every n-th call decision
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
    /** Lease time to live when the settings state none. */
    public static final Duration DEFAULT_LEASE_TTL = Duration.ofSeconds(3);
    /** Heartbeat interval when the settings state none. */
    public static final Duration DEFAULT_HEARTBEAT = Duration.ofSeconds(1);
    /** Head poll interval when the settings state none. */
    public static final Duration DEFAULT_HEAD_POLL = Duration.ofSeconds(1);
    /** Log sampling when the settings state none. */
    public static final int DEFAULT_LOG_SAMPLING = 1000;

    /** Copies the interests. */
    public NodeSettings {
        interests = Set.copyOf(interests);
    }

    /**
     * Returns the region of the node's zone.
     *
     * @return the region
     */
    public Region region() {
        return zone.region();
    }

    /**
     * Starts a builder with the default values.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects settings; every address and name without a default must be set. */
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

        /**
         * Sets nodeId.
         *
         * @param value identity of the node
         * @return this builder
         */
        public Builder nodeId(String value) {
            nodeId = value;
            return this;
        }

        /**
         * Sets zone.
         *
         * @param value name of the VM's zone
         * @return this builder
         */
        public Builder zone(String value) {
            zone = value;
            return this;
        }

        /**
         * Sets region.
         *
         * @param value name of the zone's region
         * @return this builder
         */
        public Builder region(String value) {
            region = value;
            return this;
        }

        /**
         * Sets callerAddress.
         *
         * @param value address for callers
         * @return this builder
         */
        public Builder callerAddress(HostPort value) {
            callerAddress = value;
            return this;
        }

        /**
         * Sets peerAddress.
         *
         * @param value address for frames
         * @return this builder
         */
        public Builder peerAddress(HostPort value) {
            peerAddress = value;
            return this;
        }

        /**
         * Sets operatorAddress.
         *
         * @param value address of the operator port
         * @return this builder
         */
        public Builder operatorAddress(HostPort value) {
            operatorAddress = value;
            return this;
        }

        /**
         * Sets platformAddress.
         *
         * @param value address of the platform
         * @return this builder
         */
        public Builder platformAddress(HostPort value) {
            platformAddress = value;
            return this;
        }

        /**
         * Sets storeRegion.
         *
         * @param value name of the region that holds the platform's store
         * @return this builder
         */
        public Builder storeRegion(String value) {
            storeRegion = value;
            return this;
        }

        /**
         * Sets interests.
         *
         * @param value services used by callers; empty means all
         * @return this builder
         */
        public Builder interests(Set<String> value) {
            interests = value;
            return this;
        }

        /**
         * Sets leaseTtl.
         *
         * @param value time to live of a lease
         * @return this builder
         */
        public Builder leaseTtl(Duration value) {
            leaseTtl = value;
            return this;
        }

        /**
         * Sets heartbeat.
         *
         * @param value interval of heartbeats
         * @return this builder
         */
        public Builder heartbeat(Duration value) {
            heartbeat = value;
            return this;
        }

        /**
         * Sets headPoll.
         *
         * @param value interval of head reads
         * @return this builder
         */
        public Builder headPoll(Duration value) {
            headPoll = value;
            return this;
        }

        /**
         * Sets logSampling.
         *
         * @param value logs every n-th call decision
         * @return this builder
         */
        public Builder logSampling(int value) {
            logSampling = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
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
