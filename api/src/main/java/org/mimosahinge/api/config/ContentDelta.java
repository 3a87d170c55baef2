package org.mimosahinge.api.config;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/**
 * A content as changes of another content, the base.
 *
 * @param targetLength length of the target content in bytes
 * @param checksum checksum of the target content, see {@link #checksumOf}
 * @param instructions the target content from its start to its end
 */
public record ContentDelta(int targetLength, long checksum, List<Instruction> instructions) {

    /** Largest target in bytes, as for whole contents; bounds what a malformed delta can make the receiver allocate. */
    public static final int MAX_TARGET_BYTES = 1 << 20;

    /** Bytes for length, checksum and number of parts: integers of up to 5, 9 and 5 bytes in MessagePack. */
    private static final int MAX_HEADER_BYTES = 19;

    /** Bytes for kind, offset and length of a part: a flag and two integers of up to 5 bytes in MessagePack. */
    private static final int MAX_INSTRUCTION_BYTES = 11;

    /**
     * Copies the parts.
     *
     * @param targetLength length of the target content in bytes
     * @param checksum checksum of the target content
     * @param instructions the target content from its start to its end
     */
    public ContentDelta {
        instructions = List.copyOf(instructions);
    }

    /** A range of the target content. */
    public sealed interface Instruction permits Copy, Insert {

        /**
         * Returns the length of the range.
         *
         * @return the length in bytes
         */
        int length();

        /**
         * Tells whether the range can be restored.
         *
         * @param baseLength length of the base in bytes
         * @return whether the range is not empty and needs no byte outside of the base
         */
        boolean isValidFor(int baseLength);

        /**
         * Appends the range to the target.
         *
         * @param base the base
         * @param target the target
         */
        void appendTo(ByteBuffer target, byte[] base);
    }

    /**
     * A range that also stands in the base.
     *
     * @param offset start of the range in the base
     * @param length length in bytes
     */
    public record Copy(int offset, int length) implements Instruction {

        @Override
        public boolean isValidFor(int baseLength) {
            return length > 0 && offset >= 0 && offset <= baseLength - length;
        }

        @Override
        public void appendTo(ByteBuffer target, byte[] base) {
            target.put(base, offset, length);
        }
    }

    /**
     * A range that is sent as it is.
     *
     * @param bytes the range
     */
    public record Insert(byte[] bytes) implements Instruction {

        @Override
        public int length() {
            return bytes.length;
        }

        @Override
        public boolean isValidFor(int baseLength) {
            return bytes.length > 0;
        }

        @Override
        public void appendTo(ByteBuffer target, byte[] base) {
            target.put(bytes);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Insert insert && Arrays.equals(bytes, insert.bytes);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(bytes);
        }
    }

    /**
     * Finds what changed between two contents, in time linear in their lengths.
     *
     * @param base the content that the receiver holds
     * @param target the content to send; one longer than {@link #MAX_TARGET_BYTES} gives a delta that applies to no base
     * @return the delta
     */
    public static ContentDelta between(byte[] base, byte[] target) {
        return new ContentDelta(target.length, checksumOf(target), new BlockMatcher(base, target).findInstructions());
    }

    /**
     * Restores the target content.
     *
     * @param base the content held
     * @return the target, or empty when this is not the base of the delta or the delta is damaged
     */
    public Optional<byte[]> applyTo(byte[] base) {
        if (targetLength < 0 || targetLength > MAX_TARGET_BYTES || !instructionsAreValid(base.length)) {
            return Optional.empty();
        }
        ByteBuffer target = ByteBuffer.allocate(targetLength);
        instructions.forEach(instruction -> instruction.appendTo(target, base));
        return checksumOf(target.array()) == checksum ? Optional.of(target.array()) : Optional.empty();
    }

    /** Checks all parts before anything is allocated. */
    private boolean instructionsAreValid(int baseLength) {
        long total = 0;
        for (Instruction instruction : instructions) {
            if (!instruction.isValidFor(baseLength)) {
                return false;
            }
            total += instruction.length();
        }
        return total == targetLength;
    }

    /**
     * Returns about how many bytes the delta takes in a message, at most; the whole content may take fewer.
     *
     * @return the bytes
     */
    public int maxEncodedBytes() {
        int bytes = MAX_HEADER_BYTES;
        for (Instruction instruction : instructions) {
            bytes += MAX_INSTRUCTION_BYTES + (instruction instanceof Insert insert ? insert.length() : 0);
        }
        return bytes;
    }

    /**
     * Returns the checksum of a content: CRC-32C in the upper half and CRC-32 in the lower half. The JDK computes both
     * with processor instructions, and together they tell apart what 32 bits do not.
     *
     * @param content the content
     * @return its checksum
     */
    public static long checksumOf(byte[] content) {
        return value(new CRC32C(), content) << Integer.SIZE | value(new CRC32(), content);
    }

    private static long value(Checksum checksum, byte[] content) {
        checksum.update(content, 0, content.length);
        return checksum.getValue();
    }
}
