package org.mimosahinge.daemon.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.mimosahinge.api.config.Head;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.SectionRef;
import org.mimosahinge.api.error.InvalidAddressException;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.platform.ObjectHash;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Row;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.config.SectionRow;
import org.mimosahinge.core.lease.LeaseRow;
import org.mimosahinge.core.lease.Revisioned;
import org.mimosahinge.net.log.EventLog;

/** Defines the keys of rows in the table service and encodes and decodes their JSON values. */
final class RowCodec {

    static final String HEAD_KEY = "head";

    private static final EventLog LOG = EventLog.of("rows");

    private static final ObjectMapper JSON = new ObjectMapper();

    private RowCodec() {}

    /**
     * A lease row with its holder's address, so that other nodes can connect to the holder.
     *
     * @param lease the lease
     * @param holder the node that holds it, empty after a release
     */
    record LeaseEntry(LeaseRow lease, Optional<Node> holder) {

        static final LeaseEntry ABSENT = new LeaseEntry(LeaseRow.ABSENT, Optional.empty());
    }

    static String sectionKey(String team) {
        return "section/" + team;
    }

    static String relayLeaseKey(AvailabilityZone zone) {
        return "lease/relay/" + zone.name();
    }

    static String gatewayLeaseKey(Region region) {
        return "lease/gateway/" + region.name();
    }

    static String controllerLeaseKey(int shard) {
        return "lease/controller/" + shard;
    }

    static String nodeKeyPrefix(AvailabilityZone zone) {
        return "node/" + zone.name() + "/";
    }

    static String nodeKey(Node node) {
        return nodeKeyPrefix(node.zone()) + node.id();
    }

    static Revisioned<Head> head(ReadResult read) {
        return read.row(HEAD_KEY)
                .map(row -> new Revisioned<>(row.revision(), decodeHead(parse(row))))
                .orElse(new Revisioned<>(0, Head.EMPTY));
    }

    static Revisioned<SectionRow> sectionRow(ReadResult read, String team) {
        return read.row(sectionKey(team))
                .map(row -> new Revisioned<>(row.revision(), decodeSectionRow(team, parse(row))))
                .orElse(new Revisioned<>(0, SectionRow.initial(team)));
    }

    static Revisioned<LeaseEntry> lease(ReadResult read, String key) {
        return read.row(key)
                .map(row -> new Revisioned<>(row.revision(), decodeLease(parse(row))))
                .orElse(new Revisioned<>(0, LeaseEntry.ABSENT));
    }

    static List<Node> roster(ReadResult read, AvailabilityZone zone) {
        return read.rows().stream()
                .filter(row -> row.key().startsWith(nodeKeyPrefix(zone)))
                .flatMap(row -> tryDecodeNode(row).stream())
                .toList();
    }

    static List<Node> allNodes(ReadResult read) {
        return read.rows().stream()
                .filter(row -> row.key().startsWith("node/"))
                .flatMap(row -> tryDecodeNode(row).stream())
                .toList();
    }

    static String encode(Head head) {
        ObjectNode json = JSON.createObjectNode().put("version", head.version());
        ArrayNode sections = json.putArray("sections");
        head.sections().values().forEach(section -> sections.addObject()
                .put("team", section.team())
                .put("revision", section.revision())
                .put("hash", section.hash().hex()));
        ArrayNode moves = json.putArray("moves");
        head.moves().values().forEach(move -> moves.addObject()
                .put("service", move.service())
                .put("from", move.from())
                .put("to", move.to())
                .put("sectionRevision", move.sectionRevision())
                .put("sharePermille", move.sharePermille())
                .put("phase", move.phase().name())
                .put("reason", move.reason())
                .put("sinceMs", move.since().toEpochMilli()));
        return json.toString();
    }

    static String encode(SectionRow row) {
        ObjectNode json = JSON.createObjectNode().put("revision", row.revision());
        row.hash().ifPresent(hash -> json.put("hash", hash.hex()));
        row.operationIds().forEach(json.putArray("operationIds")::add);
        return json.toString();
    }

    static String encode(LeaseRow lease, Node self) {
        ObjectNode json = JSON.createObjectNode().put("epoch", lease.epoch()).put("ttlMs", lease.ttlMs());
        lease.holder().ifPresent(holder -> json.set("holder", toJson(self)));
        return json.toString();
    }

    static String encode(Node node) {
        return toJson(node).toString();
    }

    private static ObjectNode toJson(Node node) {
        return JSON.createObjectNode()
                .put("id", node.id().value())
                .put("incarnation", node.incarnation())
                .put("zone", node.zone().name())
                .put("region", node.zone().region().name())
                .put("address", node.address().toString());
    }

    private static Head decodeHead(JsonNode json) {
        SortedMap<String, SectionRef> sections = new TreeMap<>();
        for (JsonNode entry : json.path("sections")) {
            SectionRef reference = new SectionRef(
                    entry.path("team").asText(),
                    entry.path("revision").asLong(),
                    new ObjectHash(entry.path("hash").asText()));
            sections.put(reference.team(), reference);
        }
        SortedMap<String, MoveState> moves = new TreeMap<>();
        for (JsonNode entry : json.path("moves")) {
            MoveState move = new MoveState(
                    entry.path("service").asText(),
                    entry.path("from").asText(),
                    entry.path("to").asText(),
                    entry.path("sectionRevision").asLong(),
                    entry.path("sharePermille").asInt(),
                    MovePhase.valueOf(entry.path("phase").asText()),
                    entry.path("reason").asText(),
                    Instant.ofEpochMilli(entry.path("sinceMs").asLong()));
            moves.put(move.service(), move);
        }
        return new Head(json.path("version").asLong(), sections, moves);
    }

    private static SectionRow decodeSectionRow(String team, JsonNode json) {
        List<String> operations = new ArrayList<>();
        json.path("operationIds").forEach(id -> operations.add(id.asText()));
        Optional<ObjectHash> hash =
                json.has("hash") ? Optional.of(new ObjectHash(json.path("hash").asText())) : Optional.empty();
        return new SectionRow(team, json.path("revision").asLong(), hash, operations);
    }

    private static LeaseEntry decodeLease(JsonNode json) {
        Optional<Node> holder = json.has("holder") ? Optional.of(decodeNode(json.path("holder"))) : Optional.empty();
        LeaseRow lease = new LeaseRow(
                holder.map(Node::id),
                holder.map(Node::incarnation).orElse(0L),
                json.path("epoch").asLong(),
                json.path("ttlMs").asLong());
        return new LeaseEntry(lease, holder);
    }

    /** Decodes a node's row; an invalid row is skipped so that it does not hide the other nodes. */
    private static Optional<Node> tryDecodeNode(Row row) {
        try {
            return Optional.of(decodeNode(parse(row)));
        } catch (MimosahingeException e) {
            LOG.warn("row_rejected", "row", row.key(), "revision", row.revision(), "reason", e.getMessage());
            return Optional.empty();
        }
    }

    private static Node decodeNode(JsonNode json) {
        Region region = new Region(json.path("region").asText());
        HostPort address = HostPort.parse(json.path("address").asText());
        if (!address.isConnectable()) {
            throw new InvalidAddressException(address.toString());
        }
        return new Node(
                new NodeId(json.path("id").asText()),
                json.path("incarnation").asLong(),
                new AvailabilityZone(json.path("zone").asText(), region),
                address);
    }

    private static JsonNode parse(Row row) {
        try {
            return JSON.readTree(row.value());
        } catch (JsonProcessingException e) {
            throw new RowCorruptException(row.key(), e);
        }
    }
}
