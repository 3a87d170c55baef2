package org.mimosahinge.net.frame;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.ContentDelta;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.error.FrameException;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/** Checks that frames survive encoding and decoding, and that malformed input is rejected with bounded effort. */
class FrameCodecTest {

    private static final Node NODE = new Node(
            new NodeId("n1"),
            7,
            new AvailabilityZone("ch-west-1", new Region("ch-west")),
            new HostPort("127.0.0.1", 9));

    private static final ContentDelta DELTA = new ContentDelta(
            70_003,
            Long.MIN_VALUE,
            List.of(new ContentDelta.Copy(200_000, 70_000), new ContentDelta.Insert(new byte[] {1, -1, 0})));

    static Stream<Frame> frames() {
        BackendServer server =
                new BackendServer("listings", "v1", new HostPort("127.0.0.1", 80), 20, 130, Set.of("index"));
        Section section = new Section(
                "listings",
                Set.of("index"),
                List.of(new Service("listings", List.of("v1"), "v1", Optional.empty(), ServiceLimits.DEFAULT)),
                List.of(new Route(
                        "browse",
                        "",
                        "/listings",
                        List.of(new ServiceShare("listings", 1)),
                        CallClass.INTERACTIVE,
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(2),
                        Route.DEFAULT_MAX_ATTEMPTS,
                        true,
                        false,
                        Set.of("index"),
                        RouteAccess.STANDARD)));
        MoveState move = new MoveState(
                "listings", "v1", "v2", 3, 20, MovePhase.RUNNING, "canary", Instant.ofEpochMilli(1_700_000_000_000L));
        ConfigUpdate update = new ConfigUpdate(
                4,
                5,
                new TreeMap<>(Map.of("listings", new RevisedSection(3, section))),
                Set.of("archive"),
                new TreeMap<>(Map.of("listings", move)),
                Set.of("ledger"));
        return Stream.of(
                new Frame.Hello(Frame.Purpose.CALLS, NODE, 12, true, Set.of("ledger")),
                new Frame.Heartbeat(99),
                new Frame.Config(update, 5),
                new Frame.ConfigRequest(3),
                new Frame.HeadHint(6),
                new Frame.Endpoints(List.of(new Endpoint(
                        "n1/a", server, NODE, EndpointState.READY, new LogicalTimestamp(7, Long.MAX_VALUE)))),
                new Frame.HaltMarks(Set.of(new HaltMark("listings", "v2", 3))),
                new Frame.VersionReport(new TreeMap<>(Map.of(4L, 2, 5L, 9))),
                new Frame.Drain("n1/a"),
                new Frame.RequestCrashes(
                        "browse",
                        "GET",
                        "/listings/9",
                        "",
                        600_000,
                        List.of(new Frame.LostStart("i-1", 1_765_152_000_000L, 0), new Frame.LostStart("i-2", 7, 1)),
                        List.of(new Frame.LostStart("i-1", 1_765_152_000_000L, 0))),
                new Frame.CallOutcomes(
                        "listings",
                        List.of(new Frame.OutcomeCounts("v2", "browse", "ch-west-1", 9, List.of(0L, 2L), List.of(7L)))),
                new Frame.OperatorRow("operator/document", at(17), new byte[3000], false),
                new Frame.OperatorRow("operator/document", at(18), new byte[0], false),
                new Frame.OperatorRow("operator/document", new StorePosition(3, 19), new byte[0], true),
                new Frame.RowSubscription(Map.of(
                        "operator/document",
                        new StorePosition(3, 17),
                        "fleet/moves",
                        StorePosition.ofNumber(Long.MAX_VALUE))),
                new Frame.RowDelta("operator/document", at(17), new StorePosition(1, 2), DELTA),
                new Frame.RowFreshness(at(18), new StorePosition(1, 2), 350),
                new Frame.QuotaUse(true, List.of()),
                new Frame.QuotaUse(
                        false,
                        List.of(
                                new Frame.OrganisationUse("archive", 1L << 40, 0),
                                new Frame.OrganisationUse("press", -1, 7))),
                new Frame.QuotaAllowances(List.of()),
                new Frame.QuotaAllowances(List.of(new Frame.Allowance("archive", 180, 0, 2_500))),
                new Frame.CallStart(
                        1,
                        "n1/a",
                        "ledger",
                        CallClass.CONFIRMATION,
                        500,
                        -20,
                        "POST",
                        "/c",
                        Map.of("a", "b"),
                        true,
                        1 << 30,
                        250),
                new Frame.Credit(1, 65_536),
                new Frame.Cancel(1),
                new Frame.ResponseStart(1, 200, Map.of("etag", "\"x\""), -1, new Frame.Load(1700, 90)),
                new Frame.CallFailure(1, "overloaded", true, "queue full", new Frame.Load(2500, 80), 120));
    }

    /** Guards against a share of repeats that no node may send and that would distort the retry budget for good. */
    private static StorePosition at(long version) {
        return new StorePosition(0, version);
    }

    @ParameterizedTest(name = "share {0}: rejected {1}")
    @CsvSource({"-1, true", "0, false", "1000, false", "1001, true", "2147483647, true"})
    void shareOfRepeatsIsChecked(int permille, boolean rejected) {
        byte[] encoded = FrameCodec.encode(new Frame.CallStart(
                1, "n1/a", "ledger", CallClass.BATCH, 500, 20, "GET", "/c", Map.of(), false, 0, permille));
        if (rejected) {
            assertThrows(FrameException.class, () -> FrameCodec.decode(encoded));
        } else {
            assertEquals(permille, ((Frame.CallStart) FrameCodec.decode(encoded)).repeatPermille());
        }
    }

    /** Guards against an allowance above all calls or a negative wait, with which a node could not compute. */
    /** An occupancy below zero must not be read as the announcement of further figures, which closes the connection. */
    @ParameterizedTest(name = "{0} permille, {1} % of the usual time of work")
    @CsvSource({"-1, 0", "-125, 0", "-1, 250", "-125, 250"})
    void occupancyBelowZeroIsSentAsZero(int permille, int workPercent) {
        Frame.Load load = new Frame.Load(permille, 40, workPercent, 0);
        Frame.CallFailure failure = new Frame.CallFailure(5, "overloaded", true, "full", load, 30);
        assertEquals(
                new Frame.CallFailure(5, "overloaded", true, "full", load.withPermille(0), 30),
                FrameCodec.decode(FrameCodec.encode(failure)));
    }

    @ParameterizedTest(name = "part {0}, wait {1}, spread {2}: rejected {3}")
    @CsvSource({"1000, 0, 0, false", "1001, 0, 0, true", "-1, 0, 0, true", "0, -1, 0, true", "0, 0, -1, true"})
    void allowanceIsChecked(int permille, int waitMs, int spreadMs, boolean rejected) {
        byte[] encoded = FrameCodec.encode(
                new Frame.QuotaAllowances(List.of(new Frame.Allowance("archive", permille, waitMs, spreadMs))));
        if (rejected) {
            assertThrows(FrameException.class, () -> FrameCodec.decode(encoded));
        } else {
            assertEquals(
                    1,
                    ((Frame.QuotaAllowances) FrameCodec.decode(encoded))
                            .allowances()
                            .size());
        }
    }

    @ParameterizedTest
    @MethodSource("frames")
    void decodingRestoresTheEncodedFrame(Frame frame) {
        assertEquals(frame, FrameCodec.decode(FrameCodec.encode(frame)));
    }

    @ParameterizedTest
    @MethodSource("frames")
    void truncatedFrameIsRejected(Frame frame) {
        byte[] whole = FrameCodec.encode(frame);
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = java.util.Arrays.copyOf(whole, length);
            assertThrows(FrameException.class, () -> FrameCodec.decode(truncated));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, -1, Integer.MAX_VALUE, FrameCodec.MAX_FRAME_BYTES + 1})
    void lengthPrefixOutOfRangeFailsTheConnection(int length) {
        EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder());
        DecoderException failure = assertThrows(
                DecoderException.class,
                () -> channel.writeInbound(Unpooled.buffer().writeInt(length).writeZero(64)));
        assertEquals(FrameException.class, failure.getCause().getClass());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 4096})
    void bodySplitAcrossReadsIsReassembled(int readBytes) {
        EmbeddedChannel sender = new EmbeddedChannel(new FrameEncoder());
        byte[] content = new byte[10_000];
        new java.util.Random(1).nextBytes(content);
        sender.writeOutbound(new Frame.Body(3, content, true));
        io.netty.buffer.ByteBuf wire = sender.readOutbound();
        EmbeddedChannel receiver = new EmbeddedChannel(new FrameDecoder());
        while (wire.isReadable()) {
            receiver.writeInbound(wire.readBytes(Math.min(readBytes, wire.readableBytes())));
        }
        Frame.Body body = receiver.readInbound();
        assertArrayEquals(content, body.bytes());
        assertFalse(receiver.finish());
    }

    // A row that the sender encodes but the receiver rejects would close every connection that it is sent on.
    @ParameterizedTest
    @CsvSource({"1048576, true", "1048577, false"})
    void oversizedRowIsRejectedByTheEncoder(int length, boolean accepted) {
        Frame row = new Frame.OperatorRow("operator/document", at(17), new byte[length], false);
        if (accepted) {
            assertEquals(row, FrameCodec.decode(FrameCodec.encode(row)));
        } else {
            assertThrows(FrameException.class, () -> FrameCodec.encode(row));
        }
    }

    // Content may end exactly at a chunk of the decompression; the last call of the inflater then returns no bytes.
    @Property(tries = 500, seed = "43")
    void decompressionRestoresContentOfAnyLength(
            @ForAll @IntRange(max = 9000) int length, @ForAll @IntRange(min = 1, max = 256) int values) {
        byte[] content = new byte[length];
        Random random = new Random(length);
        for (int i = 0; i < length; i++) {
            content[i] = (byte) random.nextInt(values);
        }
        assertArrayEquals(content, Deflate.decompress(Deflate.compress(content)));
    }

    // Random lengths seldom end exactly at a chunk boundary, so lengths around it are tested one by one.
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4095, 4096, 4097, 8192, 65_536})
    void decompressionRestoresContentAroundChunkBoundaries(int length) {
        for (int values = 1; values <= 256; values++) {
            byte[] content = new byte[length];
            for (int i = 0; i < length; i++) {
                content[i] = (byte) (i * 31 % values);
            }
            assertArrayEquals(content, Deflate.decompress(Deflate.compress(content)));
        }
    }

    // A frame of a few hundred bytes must not decompress until the receiver runs out of memory.
    @ParameterizedTest
    @ValueSource(ints = {(1 << 20) + 1, 1 << 26})
    void rowThatDecompressesPastTheLimitIsRejected(int length) throws IOException {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(compressed, new Deflater(9, true))) {
            out.write(new byte[length]);
        }
        assertRejected(packer ->
                packer.integer(12).text("operator/document").integer(17).bytes(compressed.toByteArray()));
    }

    static Stream<Consumer<Packer>> malformedRows() {
        return Stream.of(
                packer -> packer.integer(12).text("k").integer(17).bytes(new byte[0]),
                packer -> packer.integer(12).text("k").integer(17).bytes(new byte[] {-1, -1, -1}),
                packer -> packer.integer(13).integer(-1),
                packer -> packer.integer(13).integer(1 << 30),
                packer -> packer.integer(13).integer(1).text("k").text("17"),
                packer -> delta(packer, 1L << 31).integer(0),
                packer -> delta(packer, 4).integer(-1),
                packer -> delta(packer, 4).integer(Integer.MAX_VALUE),
                packer -> delta(packer, 4).integer(1).integer(1),
                packer ->
                        delta(packer, 4).integer(1).flag(true).integer(1L << 31).integer(4),
                packer -> delta(packer, 4).integer(1).flag(true).integer(0).integer(-(1L << 32)),
                packer -> delta(packer, 4).integer(1).flag(false).integer(4),
                packer -> packer.integer(15).integer(18).integer(-1));
    }

    private static Packer delta(Packer packer, long length) {
        return packer.integer(14)
                .text("k")
                .integer(17)
                .integer(18)
                .integer(length)
                .integer(99);
    }

    // A malformed row must neither be accepted nor fail with any exception other than FrameException.
    @ParameterizedTest
    @MethodSource("malformedRows")
    void malformedRowIsRejected(Consumer<Packer> fields) {
        assertRejected(fields);
    }

    private static void assertRejected(Consumer<Packer> fields) {
        try (Packer packer = new Packer()) {
            fields.accept(packer);
            byte[] content = packer.toBytes();
            assertThrows(FrameException.class, () -> FrameCodec.decode(content));
        }
    }

    // With an estimate that is too low, a sender would choose a delta although the full content takes fewer bytes.
    @ParameterizedTest
    @ValueSource(ints = {0, 40, 1000, 70_000, 1 << 20})
    void encodedDeltaIsNoLargerThanItsEstimate(int length) {
        Random random = new Random(3);
        byte[] base = new byte[length];
        random.nextBytes(base);
        byte[] target = base.clone();
        for (int i = 0; i < length; i += 100 + random.nextInt(100)) {
            target[i]++;
        }
        ContentDelta delta = ContentDelta.between(base, target);
        int overheadBytes = FrameCodec.encode(new Frame.RowFreshness(at(17), at(18), 19)).length + 2;
        int encodedBytes = FrameCodec.encode(new Frame.RowDelta("k", at(17), at(18), delta)).length;
        assertTrue(
                encodedBytes <= delta.maxEncodedBytes() + overheadBytes,
                encodedBytes + " bytes, estimated " + delta.maxEncodedBytes());
    }

    @Property(tries = 2000, seed = "42")
    void arbitraryBytesAreDecodedOrRejectedWithFrameException(@ForAll byte[] input) {
        try {
            FrameCodec.decode(input);
        } catch (FrameException e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }
}
