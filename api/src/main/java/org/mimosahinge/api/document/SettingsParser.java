package org.mimosahinge.api.document;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.mimosahinge.api.document.Cursor.ValueReader;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.settings.NodeSettings;
import org.mimosahinge.api.world.HostPort;

/** Parses the settings of a daemon. */
public final class SettingsParser {
    private static final ValueReader<NodeSettings> SETTINGS = ObjectFields.object(SettingsParser::readSettings);
    /** A lease must survive two lost renewals, as announcements and heartbeats do. */
    private static final int MIN_HEARTBEATS_PER_LEASE = 3;

    private SettingsParser() {}

    /**
     * Parses and validates settings.
     *
     * @param file name of the file, reported with problems
     * @param json JSON with comments in UTF-8
     * @return the settings
     * @throws org.mimosahinge.api.error.InvalidDocumentException if the settings are invalid, with all problems found
     */
    public static NodeSettings parse(String file, byte[] json) {
        return SectionParser.parse(file, json, SETTINGS);
    }

    private static Optional<NodeSettings> readSettings(ObjectFields fields) {
        Optional<String> nodeId = fields.required("nodeId", ValueReaders.IDENTIFIER);
        Optional<String> zone = fields.required("zone", ValueReaders.NAME);
        Optional<String> region = fields.required("region", ValueReaders.NAME);
        Optional<HostPort> caller = fields.required("callerAddress", ValueReaders.address());
        Optional<HostPort> peer = fields.required("peerAddress", ValueReaders.address());
        Optional<HostPort> operator = fields.required("operatorAddress", ValueReaders.address());
        Optional<HostPort> platform = fields.required("platformAddress", ValueReaders.address());
        Optional<String> storeRegion = fields.required("storeRegion", ValueReaders.NAME);
        Optional<Set<String>> interests =
                fields.optional("interests", Set.of(), ValueReaders.nameSet(ValueReaders.NAME));
        Optional<Duration> leaseTtl =
                readDuration(fields, "leaseTtl", NodeSettings.DEFAULT_LEASE_TTL, Duration.ofMillis(100));
        Optional<Duration> heartbeat =
                readDuration(fields, "heartbeat", NodeSettings.DEFAULT_HEARTBEAT, Duration.ofMillis(10));
        Optional<Duration> headPoll =
                readDuration(fields, "headPoll", NodeSettings.DEFAULT_HEAD_POLL, Duration.ofMillis(10));
        Optional<Integer> logSampling = fields.optional(
                "logSampling", NodeSettings.DEFAULT_LOG_SAMPLING, ValueReaders.integer(1, 1_000_000_000));
        reportShortLease(fields, leaseTtl, heartbeat);
        if (!Stream.of(nodeId, zone, region, caller, peer, operator, platform, storeRegion)
                        .allMatch(Optional::isPresent)
                || !Stream.of(interests, leaseTtl, heartbeat, headPoll, logSampling)
                        .allMatch(Optional::isPresent)) {
            return Optional.empty();
        }
        return Optional.of(NodeSettings.builder()
                .nodeId(nodeId.get())
                .zone(zone.get())
                .region(region.get())
                .callerAddress(caller.get())
                .peerAddress(peer.get())
                .operatorAddress(operator.get())
                .platformAddress(platform.get())
                .storeRegion(storeRegion.get())
                .interests(interests.get())
                .leaseTtl(leaseTtl.get())
                .heartbeat(heartbeat.get())
                .headPoll(headPoll.get())
                .logSampling(logSampling.get())
                .build());
    }

    private static Optional<Duration> readDuration(
            ObjectFields fields, String name, Duration defaultValue, Duration min) {
        return fields.optional(name, defaultValue, ValueReaders.duration(min, Duration.ofMinutes(1)));
    }

    private static void reportShortLease(
            ObjectFields fields, Optional<Duration> leaseTtl, Optional<Duration> heartbeat) {
        if (leaseTtl.isPresent()
                && heartbeat.isPresent()
                && leaseTtl.get().compareTo(heartbeat.get().multipliedBy(MIN_HEARTBEATS_PER_LEASE)) < 0) {
            fields.first("leaseTtl")
                    .or(() -> fields.first("heartbeat"))
                    .ifPresent(value -> value.report(
                            ErrorCode.OUT_OF_RANGE,
                            "leaseTtl of at least " + MIN_HEARTBEATS_PER_LEASE + " times heartbeat"));
        }
    }
}
