package org.mimosahinge.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.core.poison.BackendStart;
import org.mimosahinge.core.poison.CrashRegistry;
import org.mimosahinge.core.poison.CrashReport;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.daemon.traffic.CrashKnowledge;
import org.mimosahinge.daemon.traffic.TrafficEvent;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Guards against crashes that only the node knows at which the request came in. */
class CrashReportsTest {

    private static final Fingerprint REQUEST = new Fingerprint("pay", "POST", "/pay", "ab");

    /** The crash registry of a node without calls. */
    private static final class Knowledge implements CrashKnowledge {
        private CrashRegistry registry = CrashRegistry.EMPTY;
        private final List<Duration> refusals = new ArrayList<>();
        private long nowMs;

        @Override
        public boolean learn(CrashReport report) {
            CrashRegistry before = registry;
            registry = registry.merge(report, 0, bound -> 0);
            return registry != before;
        }

        @Override
        public List<CrashReport> crashReports() {
            return registry.openReports();
        }

        @Override
        public boolean quarantine(Fingerprint fingerprint, Duration time) {
            boolean added = !registry.isRefused(fingerprint, nowMs);
            registry = registry.refuse(fingerprint, nowMs, nowMs + time.toMillis());
            refusals.add(time);
            return added;
        }
    }

    private static Frame.RequestCrashes transmitted(Frame frame) {
        return (Frame.RequestCrashes) FrameCodec.decode(FrameCodec.encode(frame));
    }

    @ParameterizedTest(name = "refused: {0}, cleared: {1}, receiver has just started: {2}")
    @CsvSource({"false, false, false", "true, false, false", "false, false, true", "false, true, false"})
    void crashesAreKnownOnOtherNodes(boolean refused, boolean cleared, boolean started) {
        Set<BackendStart> lost = Set.of(new BackendStart("i-1", 5, 0), new BackendStart("i-2", 6, 1));
        CrashReport report = new CrashReport(REQUEST, lost, cleared ? lost : Set.of());
        Knowledge sender = new Knowledge();
        sender.learn(report);
        CrashReports sending = new CrashReports(sender);
        Frame frame = sending.toFrame(new TrafficEvent.CrashesKnown(report, refused));
        Knowledge receiver = new Knowledge();
        CrashReports receiving = new CrashReports(receiver);
        assertTrue(
                receiving.received(transmitted(started ? sending.openReports().get(0) : frame)));
        assertEquals(report, receiver.registry.report(REQUEST));
        assertFalse(receiving.received(transmitted(frame)));
        assertEquals(cleared ? List.of() : List.of(report), receiver.crashReports());
    }

    @ParameterizedTest(name = "refused for {0} ms")
    @CsvSource({"600000", "1"})
    void refusalOfAnEarlierReleaseHolds(long refusedForMs) throws IOException {
        Knowledge receiver = new Knowledge();
        CrashReports receiving = new CrashReports(receiver);
        Frame.RequestCrashes frame;
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(11)
                    .packString("pay")
                    .packString("POST")
                    .packString("/pay")
                    .packString("ab");
            packer.packLong(refusedForMs);
            frame = (Frame.RequestCrashes) FrameCodec.decode(packer.toByteArray());
        }
        assertTrue(receiving.received(frame));
        assertFalse(receiving.received(frame));
        // The refusal ends, and the request crashes backend servers once more.
        receiver.nowMs = refusedForMs;
        assertTrue(receiving.received(frame));
        Duration refusal = Duration.ofMillis(refusedForMs);
        assertEquals(List.of(refusal, refusal, refusal), receiver.refusals);
    }
}
