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

/** Unpacks plain values and turns every malformed input into a {@link FrameException}. */
final class Unpacker implements AutoCloseable {

    /** The default of 8,192 characters per frame made up a quarter of what a daemon under load allocated. */
    private static final MessagePack.UnpackerConfig CONFIG =
            new MessagePack.UnpackerConfig().withStringDecoderBufferSize(256);

    private final MessageUnpacker in;
    private final int length;

    Unpacker(byte[] content) {
        in = CONFIG.newUnpacker(content);
        length = content.length;
    }

    /** Reads one value. */
    @FunctionalInterface
    private interface Read<T> {
        T read() throws IOException;
    }

    private static <T> T guarded(Read<T> read) {
        try {
            return read.read();
        } catch (IOException | MessagePackException e) {
            throw new FrameException("Malformed frame: " + e.getMessage());
        }
    }

    long integer() {
        return guarded(in::unpackLong);
    }

    int smallInteger() {
        return guarded(in::unpackInt);
    }

    boolean flag() {
        return guarded(in::unpackBoolean);
    }

    String text() {
        return guarded(in::unpackString);
    }

    byte[] bytes() {
        return guarded(() -> in.readPayload(bounded(in.unpackBinaryHeader())));
    }

    <E extends Enum<E>> E constant(E[] values) {
        int ordinal = smallInteger();
        if (ordinal < 0 || ordinal >= values.length) {
            throw new FrameException("Malformed frame: no constant " + ordinal);
        }
        return values[ordinal];
    }

    <T> List<T> list(Function<Unpacker, T> element) {
        int size = bounded(smallInteger());
        List<T> elements = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            elements.add(element.apply(this));
        }
        return elements;
    }

    Map<String, String> texts() {
        Map<String, String> pairs = new HashMap<>();
        int size = bounded(smallInteger());
        for (int i = 0; i < size; i++) {
            pairs.put(text(), text());
        }
        return pairs;
    }

    /** Each element takes at least one byte, so a larger count can only come from a malformed frame. */
    private int bounded(int count) {
        if (count < 0 || count > length) {
            throw new FrameException("Malformed frame: count " + count + " in " + length + " bytes");
        }
        return count;
    }

    @Override
    public void close() {
        guarded(() -> {
            in.close();
            return null;
        });
    }
}
