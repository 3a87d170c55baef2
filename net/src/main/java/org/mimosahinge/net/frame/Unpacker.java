package org.mimosahinge.net.frame;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.mimosahinge.api.error.FrameException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Reads MessagePack values and reports malformed input as {@link FrameException}. */
final class Unpacker implements AutoCloseable {

    /**
     * The default string buffer of 8,192 characters for each frame accounts for a quarter of the allocations of a daemon
     * under load.
     */
    private static final MessagePack.UnpackerConfig CONFIG =
            new MessagePack.UnpackerConfig().withStringDecoderBufferSize(256);

    private static final int MAX_PERMILLE = 1_000;

    private final MessageUnpacker in;
    private final int length;

    Unpacker(byte[] content) {
        in = CONFIG.newUnpacker(content);
        length = content.length;
    }

    /** Reads one value from the input. */
    @FunctionalInterface
    private interface ReadOperation<T> {
        T read() throws IOException;
    }

    private static <T> T translateFailures(ReadOperation<T> operation) {
        try {
            return operation.read();
        } catch (IOException | MessagePackException e) {
            throw new FrameException("Malformed frame: " + e.getMessage());
        }
    }

    long integer() {
        return translateFailures(in::unpackLong);
    }

    int smallInteger() {
        return translateFailures(in::unpackInt);
    }

    int permille() {
        int value = smallInteger();
        if (value < 0 || value > MAX_PERMILLE) {
            throw new FrameException("Malformed frame: share " + value + " is not in 0.." + MAX_PERMILLE);
        }
        return value;
    }

    boolean flag() {
        return translateFailures(in::unpackBoolean);
    }

    String text() {
        return translateFailures(in::unpackString);
    }

    byte[] bytes() {
        return translateFailures(() -> in.readPayload(checkCount(in.unpackBinaryHeader())));
    }

    <E extends Enum<E>> E enumConstant(E[] values) {
        int ordinal = smallInteger();
        if (ordinal < 0 || ordinal >= values.length) {
            throw new FrameException("Malformed frame: unknown enum ordinal " + ordinal);
        }
        return values[ordinal];
    }

    <T> List<T> list(Function<Unpacker, T> element) {
        int size = checkCount(smallInteger());
        List<T> elements = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            elements.add(element.apply(this));
        }
        return elements;
    }

    Map<String, String> textMap() {
        Map<String, String> pairs = new HashMap<>();
        int size = checkCount(smallInteger());
        for (int i = 0; i < size; i++) {
            pairs.put(text(), text());
        }
        return pairs;
    }

    /** Each element takes at least one byte, so a count above the frame's length shows that the frame is malformed. */
    private int checkCount(int count) {
        if (count < 0 || count > length) {
            throw new FrameException("Malformed frame: element count " + count + " in a frame of " + length + " bytes");
        }
        return count;
    }

    @Override
    public void close() {
        translateFailures(() -> {
            in.close();
            return null;
        });
    }
}
