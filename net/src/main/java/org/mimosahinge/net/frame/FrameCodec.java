package org.mimosahinge.net.frame;

import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.error.FrameException;
import org.mimosahinge.api.error.MimosahingeException;

/** Encodes frames as MessagePack values and decodes them; {@link FrameEncoder} adds the length prefix. */
public final class FrameCodec {

    /** Largest frame without its length prefix. A larger value in the prefix closes the connection. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private FrameCodec() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return the encoded frame without the length prefix
     */
    public static byte[] encode(Frame frame) {
        try (Packer out = new Packer()) {
            out.integer(FrameType.of(frame).number());
            pack(out, frame);
            return out.toBytes();
        }
    }

    /**
     * Decodes a frame.
     *
     * @param content the encoded frame without the length prefix
     * @return the frame
     * @throws FrameException when the content is not a valid frame
     */
    public static Frame decode(byte[] content) {
        try (Unpacker in = new Unpacker(content)) {
            return unpack(FrameType.of(in.smallInteger()), in);
        } catch (FrameException e) {
            throw e;
        } catch (MimosahingeException | IllegalArgumentException | NullPointerException e) {
            throw new FrameException("Malformed frame: " + e.getMessage());
        }
    }

    private static void pack(Packer out, Frame frame) {
        if (frame instanceof Frame.CallStart call) {
            packCallStart(out, call);
        } else if (frame instanceof Frame.Body body) {
            out.integer(body.callId()).bytes(body.bytes()).flag(body.last());
        } else if (frame instanceof Frame.Credit credit) {
            out.integer(credit.callId()).integer(credit.bytes());
        } else if (frame instanceof Frame.Cancel cancel) {
            out.integer(cancel.callId());
        } else if (frame instanceof Frame.ResponseStart response) {
            out.integer(response.callId()).integer(response.status()).textMap(response.headers());
            out.integer(response.contentLength());
            packLoad(out, response.load());
        } else if (frame instanceof Frame.CallFailure failure) {
            out.integer(failure.callId())
                    .text(failure.code())
                    .flag(failure.notRun())
                    .text(failure.message());
            packLoad(out, failure.load());
            out.integer(failure.estimatedWaitMs());
        } else {
            packControl(out, frame);
        }
    }

    private static void packControl(Packer out, Frame frame) {
        if (frame instanceof Frame.Hello hello) {
            out.integer(hello.purpose().ordinal());
            TopologyFields.packNode(out, hello.node());
            out.integer(hello.version()).flag(hello.provenCurrent()).list(hello.interests(), Packer::text);
        } else if (frame instanceof Frame.Heartbeat heartbeat) {
            out.integer(heartbeat.sequence());
        } else if (frame instanceof Frame.Config config) {
            ConfigFields.packUpdate(out, config.update());
            out.integer(config.headVersionAtConnect());
        } else if (frame instanceof Frame.ConfigRequest request) {
            out.integer(request.version());
        } else if (frame instanceof Frame.HeadHint hint) {
            out.integer(hint.version());
        } else if (frame instanceof Frame.Endpoints endpoints) {
            out.list(endpoints.endpoints(), TopologyFields::packEndpoint);
        } else if (frame instanceof Frame.HaltMarks haltMarks) {
            out.list(haltMarks.marks(), ConfigFields::packHaltMark);
        } else if (frame instanceof Frame.Drain drain) {
            out.text(drain.endpointId());
        } else if (frame instanceof Frame.CallOutcomes outcomes) {
            out.text(outcomes.service()).list(outcomes.counts(), ConfigFields::packOutcomeCounts);
        } else if (frame instanceof Frame.RequestCrashes crashes) {
            CrashFields.packCrashes(out, crashes);
        } else if (frame instanceof Frame.OperatorRow row) {
            RowFields.packRow(out, row);
        } else if (frame instanceof Frame.RowSubscription subscription) {
            RowFields.packSubscription(out, subscription);
        } else if (frame instanceof Frame.RowDelta row) {
            RowFields.packDelta(out, row);
        } else if (frame instanceof Frame.RowFreshness freshness) {
            out.integer(freshness.revision().number())
                    .integer(freshness.readRevision().number())
                    .integer(freshness.platformMs());
        } else if (frame instanceof Frame.QuotaUse use) {
            QuotaFields.packUse(out, use);
        } else if (frame instanceof Frame.QuotaAllowances allowances) {
            QuotaFields.packAllowances(out, allowances);
        } else if (frame instanceof Frame.VersionReport report) {
            out.list(report.nodesByVersion().entrySet(), (packer, entry) -> packer.integer(entry.getKey())
                    .integer(entry.getValue()));
        }
    }

    private static void packLoad(Packer out, Frame.Load load) {
        // A negative first number announces the figures that only some backend servers state, so no occupancy may be
        // one.
        int permille = Math.max(0, load.permille());
        if (load.tellsMachine()) {
            out.integer(-1 - permille)
                    .integer(load.serviceMs())
                    .integer(load.workPercent())
                    .integer(load.room());
        } else {
            out.integer(permille).integer(load.serviceMs());
        }
    }

    private static Frame.Load unpackLoad(Unpacker in) {
        int permille = in.smallInteger();
        return permille >= 0
                ? new Frame.Load(permille, in.smallInteger())
                : new Frame.Load(-1 - permille, in.smallInteger(), in.smallInteger(), in.smallInteger());
    }

    private static void packCallStart(Packer out, Frame.CallStart call) {
        out.integer(call.callId()).text(call.endpointId()).text(call.service());
        out.integer(call.callClass().ordinal()).integer(call.deadlineMs()).integer(call.targetMs());
        out.text(call.method()).text(call.uri()).textMap(call.headers()).flag(call.hasBody());
        out.integer(call.sentMs()).integer(call.repeatPermille());
    }

    private static Frame unpack(FrameType type, Unpacker in) {
        return switch (type) {
            case CALL_START -> new Frame.CallStart(
                    in.integer(),
                    in.text(),
                    in.text(),
                    in.enumConstant(CallClass.values()),
                    in.smallInteger(),
                    in.smallInteger(),
                    in.text(),
                    in.text(),
                    in.textMap(),
                    in.flag(),
                    in.integer(),
                    in.permille());
            case BODY -> new Frame.Body(in.integer(), in.bytes(), in.flag());
            case CREDIT -> new Frame.Credit(in.integer(), in.smallInteger());
            case CANCEL -> new Frame.Cancel(in.integer());
            case RESPONSE_START -> new Frame.ResponseStart(
                    in.integer(), in.smallInteger(), in.textMap(), in.integer(), unpackLoad(in));
            case CALL_FAILURE -> new Frame.CallFailure(
                    in.integer(), in.text(), in.flag(), in.text(), unpackLoad(in), in.smallInteger());
            case HELLO -> new Frame.Hello(
                    in.enumConstant(Frame.Purpose.values()),
                    TopologyFields.unpackNode(in),
                    in.integer(),
                    in.flag(),
                    Set.copyOf(in.list(Unpacker::text)));
            case HEARTBEAT -> new Frame.Heartbeat(in.integer());
            case CONFIG -> new Frame.Config(ConfigFields.unpackUpdate(in), in.integer());
            case CONFIG_REQUEST -> new Frame.ConfigRequest(in.integer());
            case HEAD_HINT -> new Frame.HeadHint(in.integer());
            case ENDPOINTS -> new Frame.Endpoints(in.list(TopologyFields::unpackEndpoint));
            case HALT_MARKS -> new Frame.HaltMarks(Set.copyOf(in.list(ConfigFields::unpackHaltMark)));
            case DRAIN -> new Frame.Drain(in.text());
            case CALL_OUTCOMES -> new Frame.CallOutcomes(in.text(), in.list(ConfigFields::unpackOutcomeCounts));
            case REQUEST_CRASHES -> CrashFields.unpackCrashes(in);
            case OPERATOR_ROW -> RowFields.unpackRow(in);
            case ROW_SUBSCRIPTION -> RowFields.unpackSubscription(in);
            case ROW_DELTA -> RowFields.unpackDelta(in);
            case ROW_FRESHNESS -> RowFields.unpackFreshness(in);
            case QUOTA_USE -> QuotaFields.unpackUse(in);
            case QUOTA_ALLOWANCES -> QuotaFields.unpackAllowances(in);
            case VERSION_REPORT -> new Frame.VersionReport(unpackNodesByVersion(in));
        };
    }

    private static SortedMap<Long, Integer> unpackNodesByVersion(Unpacker in) {
        SortedMap<Long, Integer> nodesByVersion = new TreeMap<>();
        in.list(entry -> nodesByVersion.put(entry.integer(), entry.smallInteger()));
        return nodesByVersion;
    }
}
