package org.mimosahinge.net.frame;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes values as MessagePack. A frame is the sequence of its field values, without field names. */
final class Packer implements AutoCloseable {

    /** The default buffer of 8 KB for each frame accounts for a quarter of the allocations of a daemon under load. */
    private static final MessagePack.PackerConfig CONFIG = new MessagePack.PackerConfig().withBufferSize(512);

    private final MessageBufferPacker out = CONFIG.newBufferPacker();

    /** Writes one element of a collection. */
    @FunctionalInterface
    interface ElementPacker<T> {
        void pack(Packer packer, T element);
    }

    Packer integer(long value) {
        try {
            out.packLong(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    Packer flag(boolean value) {
        try {
            out.packBoolean(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    Packer text(String value) {
        try {
            out.packString(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    Packer bytes(byte[] value) {
        try {
            out.packBinaryHeader(value.length);
            out.writePayload(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    <T> Packer list(Collection<T> elements, ElementPacker<T> element) {
        integer(elements.size());
        elements.forEach(value -> element.pack(this, value));
        return this;
    }

    Packer textMap(Map<String, String> pairs) {
        return list(
                pairs.entrySet(), (packer, pair) -> packer.text(pair.getKey()).text(pair.getValue()));
    }

    byte[] toBytes() {
        return out.toByteArray();
    }

    @Override
    public void close() {
        try {
            out.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
