package org.mimosahinge.standin.backend;

/**
 * A body whose bytes are generated when they are sent.
 *
 * @param offset position of the first byte in the whole entity
 * @param length number of bytes
 * @param source generates the byte at a position
 */
record GeneratedContent(long offset, long length, Source source) {

    /** Returns the byte at a position of the entity. */
    @FunctionalInterface
    interface Source {
        byte at(long position);
    }

    static GeneratedContent of(byte[] bytes) {
        return new GeneratedContent(0, bytes.length, position -> bytes[(int) position]);
    }

    /** Creates an entity in which each byte differs from its neighbours, so that shifted bytes are detected. */
    static GeneratedContent download(long length) {
        return new GeneratedContent(0, length, position -> (byte) (position * 31 + (position >>> 8)));
    }

    GeneratedContent range(long from, long toExclusive) {
        return new GeneratedContent(offset + from, toExclusive - from, source);
    }

    byte[] bytes(long from, int count) {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = source.at(offset + from + i);
        }
        return bytes;
    }
}
