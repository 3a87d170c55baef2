package org.mimosahinge.api.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Restoring a target from a delta, handling of malformed deltas and the size of deltas between documents. */
class ContentDeltaTest {

    private static final int ROUTE_COUNT = 800;

    /** Maximum size of the delta for one changed route, relative to the document. A node may send 3 KB per second. */
    private static final double MAX_DELTA_RATIO = 0.01;

    /** Generates test contents. Few distinct byte values result in many equal blocks. */
    enum ContentPattern {
        ZEROS((random, i) -> 0),
        PERIODIC((random, i) -> i % 7),
        TWO_VALUES((random, i) -> random.nextInt(64) / 63),
        ARBITRARY((random, i) -> random.nextInt(256));

        private final ByteGenerator generator;

        ContentPattern(ByteGenerator generator) {
            this.generator = generator;
        }

        byte[] generate(int length, Random random) {
            byte[] bytes = new byte[length];
            for (int i = 0; i < length; i++) {
                bytes[i] = (byte) generator.byteAt(random, i);
            }
            return bytes;
        }
    }

    @FunctionalInterface
    private interface ByteGenerator {
        int byteAt(Random random, int index);
    }

    /** Edits a random range of a content. */
    enum Edit {
        INSERT((random, head, range, tail) ->
                join(head, range, ContentPattern.ARBITRARY.generate(range.length, random), tail)),
        DELETE((random, head, range, tail) -> join(head, tail)),
        REPLACE((random, head, range, tail) ->
                join(head, ContentPattern.ARBITRARY.generate(range.length, random), tail)),
        REPEAT((random, head, range, tail) -> join(head, range, range, tail)),
        MOVE((random, head, range, tail) -> join(head, tail, range));

        private final RangeEdit edit;

        Edit(RangeEdit edit) {
            this.edit = edit;
        }

        byte[] apply(byte[] content, Random random) {
            int from = random.nextInt(content.length + 1);
            int to = from + random.nextInt(Math.min(100, content.length - from) + 1);
            return edit.apply(
                    random,
                    Arrays.copyOf(content, from),
                    Arrays.copyOfRange(content, from, to),
                    Arrays.copyOfRange(content, to, content.length));
        }
    }

    @FunctionalInterface
    private interface RangeEdit {
        byte[] apply(Random random, byte[] head, byte[] range, byte[] tail);
    }

    // Guards against blocks copied from a wrong offset and bytes lost between two instructions.
    @Property(tries = 2000, seed = "20270301")
    void editedContentIsRestored(
            @ForAll ContentPattern pattern,
            @ForAll @IntRange(max = 3000) int length,
            @ForAll @Size(max = 6) List<Edit> edits,
            @ForAll long seed) {
        Random random = new Random(seed);
        byte[] base = pattern.generate(length, random);
        byte[] target = base;
        for (Edit edit : edits) {
            target = edit.apply(target, random);
        }
        assertRestored(base, target);
    }

    // Guards against bytes that are not inserted if contents have nothing in common or are shorter than a block.
    @Property(tries = 500, seed = "20270302")
    void unrelatedContentIsRestored(@ForAll byte[] base, @ForAll byte[] target) {
        assertRestored(base, target);
    }

    static Stream<Arguments> lengths() {
        return Stream.of(0, 1, 31, 32, 33, 64, 1000)
                .flatMap(base -> Stream.of(0, 1, 31, 32, 33, 64, 5000).map(target -> Arguments.of(base, target)));
    }

    // Guards against reads past the end of a content if all blocks are equal and matches extend to the end.
    @ParameterizedTest
    @MethodSource("lengths")
    void repeatedContentOfAnyLengthIsRestored(int baseLength, int targetLength) {
        assertRestored(new byte[baseLength], new byte[targetLength]);
    }

    // Guards against an off-by-one error in the limit and against a receiver that runs out of memory.
    @ParameterizedTest
    @MethodSource("limits")
    void targetLengthIsLimited(int length, boolean accepted) {
        byte[] base = new byte[4096];
        byte[] target = new byte[length];
        assertEquals(
                accepted,
                ContentDelta.between(base, target)
                        .applyTo(base)
                        .filter(bytes -> Arrays.equals(bytes, target))
                        .isPresent());
    }

    static Stream<Arguments> limits() {
        return Stream.of(
                Arguments.of(ContentDelta.MAX_TARGET_BYTES, true),
                Arguments.of(ContentDelta.MAX_TARGET_BYTES + 1, false));
    }

    // Guards against a document mixed from two versions if the receiver's base differs from the sender's.
    @Property(tries = 500, seed = "20270303")
    void deltaForAnotherBaseIsRejected(
            @ForAll @IntRange(max = 3999) int position, @ForAll @IntRange(min = 1, max = 255) int xor) {
        byte[] base = ContentPattern.ARBITRARY.generate(4000, new Random(5));
        byte[] target = join(new byte[50], base);
        byte[] other = base.clone();
        other[position] ^= (byte) xor;
        assertEquals(Optional.empty(), ContentDelta.between(base, target).applyTo(other));
    }

    // Guards against restoring a content that was never sent. With any base, the result is the target or empty.
    @Property(tries = 500, seed = "20270304")
    void anyBaseYieldsTheTargetOrEmpty(@ForAll long seed, @ForAll @IntRange(max = 3000) int otherLength) {
        Random random = new Random(seed);
        byte[] base = ContentPattern.TWO_VALUES.generate(2000, random);
        byte[] target = Edit.MOVE.apply(base, random);
        byte[] other = ContentPattern.TWO_VALUES.generate(otherLength, random);
        ContentDelta.between(base, target).applyTo(other).ifPresent(result -> assertArrayEquals(target, result));
    }

    static Stream<ContentDelta> malformed() {
        byte[] target = {1, 2, 3, 4};
        long checksum = ContentDelta.checksumOf(target);
        ContentDelta.Instruction whole = new ContentDelta.Insert(target);
        ContentDelta.Instruction none = new ContentDelta.Insert(new byte[0]);
        Stream<ContentDelta> copies = Stream.of(
                        new ContentDelta.Copy(-1, 4),
                        new ContentDelta.Copy(0, 5),
                        new ContentDelta.Copy(1, 4),
                        new ContentDelta.Copy(4, 1),
                        new ContentDelta.Copy(0, 0),
                        new ContentDelta.Copy(0, -4),
                        new ContentDelta.Copy(4, -4),
                        new ContentDelta.Copy(Integer.MAX_VALUE, 4),
                        new ContentDelta.Copy(4, Integer.MAX_VALUE),
                        new ContentDelta.Copy(Integer.MAX_VALUE, Integer.MAX_VALUE),
                        new ContentDelta.Copy(Integer.MIN_VALUE, Integer.MIN_VALUE),
                        new ContentDelta.Copy(0, Integer.MIN_VALUE))
                .flatMap(copy -> Stream.of(
                        new ContentDelta(4, checksum, List.of(copy)),
                        new ContentDelta(4, checksum, List.of(copy, whole)),
                        new ContentDelta(copy.length(), checksum, List.of(copy)),
                        new ContentDelta(copy.length() + 4, checksum, List.of(whole, copy))));
        return Stream.concat(
                copies,
                Stream.of(
                        new ContentDelta(4, checksum + 1, List.of(whole)),
                        new ContentDelta(4, checksum ^ 1L << 63, List.of(whole)),
                        new ContentDelta(3, checksum, List.of(whole)),
                        new ContentDelta(5, checksum, List.of(whole)),
                        new ContentDelta(-4, checksum, List.of(whole)),
                        new ContentDelta(4, checksum, List.of()),
                        new ContentDelta(4, checksum, List.of(whole, none)),
                        new ContentDelta(4, checksum, List.of(whole, whole)),
                        new ContentDelta(Integer.MAX_VALUE, checksum, List.of(whole)),
                        new ContentDelta(4, checksum, Collections.nCopies(1 << 18, new ContentDelta.Copy(0, 4))),
                        new ContentDelta(Integer.MIN_VALUE, checksum, List.of())));
    }

    // Guards against corrupt or malicious deltas that crash the control thread or corrupt the document.
    @ParameterizedTest
    @MethodSource("malformed")
    void malformedDeltaIsRejected(ContentDelta delta) {
        assertEquals(Optional.empty(), delta.applyTo(new byte[] {1, 2, 3, 4}));
    }

    /** Changes one or more routes of a document, starting at an index. */
    enum RouteChange {
        VERSION_ONLY(1, (routes, index) -> {}),
        WEIGHT(1, RouteChange::changeWeight),
        REPLACE(1, (routes, index) -> routes.set(index, route(9999))),
        ADD(1, (routes, index) -> routes.add(index, route(9999))),
        REMOVE(1, (routes, index) -> routes.remove(index)),
        SWAP(1, (routes, index) -> Collections.swap(routes, index, (index + 2) % ROUTE_COUNT)),
        MOVE_TO_END(1, (routes, index) -> routes.add(routes.remove(index))),
        THREE_WEIGHTS(3, (routes, index) -> {
            changeWeight(routes, index);
            changeWeight(routes, (index + 1) % ROUTE_COUNT);
            changeWeight(routes, (index + 100) % ROUTE_COUNT);
        });

        private final int changes;
        private final RouteListChange change;

        RouteChange(int changes, RouteListChange change) {
            this.changes = changes;
            this.change = change;
        }

        private static void changeWeight(List<String> routes, int index) {
            routes.set(index, routes.get(index).replace("\"weight\":1", "\"weight\":250"));
        }
    }

    @FunctionalInterface
    private interface RouteListChange {
        void apply(List<String> routes, int index);
    }

    // Guards against a large delta for a change of a few routes, at any position in the document.
    @ParameterizedTest
    @EnumSource
    void changedRouteYieldsASmallDelta(RouteChange change) {
        List<String> routes = IntStream.range(0, ROUTE_COUNT)
                .mapToObj(ContentDeltaTest::route)
                .collect(Collectors.toUnmodifiableList());
        byte[] base = document(1099, routes);
        for (int index = 0; index < ROUTE_COUNT; index++) {
            List<String> changed = new ArrayList<>(routes);
            change.change.apply(changed, index);
            byte[] target = document(1100, changed);
            ContentDelta delta = ContentDelta.between(base, target);
            assertArrayEquals(target, delta.applyTo(base).orElseThrow());
            assertTrue(
                    delta.maxEncodedBytes() <= change.changes * MAX_DELTA_RATIO * base.length,
                    "route " + index + ": " + delta.maxEncodedBytes() + " bytes of " + base.length);
        }
    }

    private static byte[] document(int version, List<String> routes) {
        return ("{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String route(int number) {
        return "{\"name\":\"r" + number + "\",\"prefix\":\"/s" + number % 130 + "/" + number
                + "\",\"weight\":1,\"timeoutMs\":2000}";
    }

    private static void assertRestored(byte[] base, byte[] target) {
        ContentDelta delta = ContentDelta.between(base, target);
        assertArrayEquals(target, delta.applyTo(base).orElseThrow());
    }

    private static byte[] join(byte[]... pieces) {
        ByteBuffer joined = ByteBuffer.allocate(
                Arrays.stream(pieces).mapToInt(piece -> piece.length).sum());
        Arrays.stream(pieces).forEach(joined::put);
        return joined.array();
    }
}
