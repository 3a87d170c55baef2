package org.mimosahinge.api.config;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/**
 * A binary delta: a target content encoded as copy and insert instructions relative to a base content.
 *
 * @param targetLength length of the target content in bytes
 * @param checksum checksum of the target content, see {@link #checksumOf}
 * @param instructions the target content from its start to its end
 */
public record ContentDelta(int targetLength, long checksum, List<Instruction> instructions) {

    /** Maximum target size, the same as for whole contents. Limits the memory that a malformed delta can allocate. */
    public static final int MAX_TARGET_BYTES = 1 << 20;

    /** Length, checksum and number of instructions: integers of up to 5, 9 and 5 bytes in MessagePack. */
    private static final int MAX_HEADER_BYTES = 19;

    /** Type, offset and length of an instruction: a flag and two integers of up to 5 bytes in MessagePack. */
    private static final int MAX_INSTRUCTION_BYTES = 11;

    /**
     * Makes an immutable copy of the instructions.
     *
     * @param targetLength length of the target content in bytes
     * @param checksum checksum of the target content
     * @param instructions the target content from its start to its end
     */
    public ContentDelta {
        instructions = List.copyOf(instructions);
    }

    /** An instruction that produces one range of the target content. */
    public sealed interface Instruction permits Copy, Insert {

        /**
         * Returns the length of the range that this instruction produces.
         *
         * @return the length in bytes
         */
        int length();

        /**
         * Returns whether this instruction can be applied to a base of the given length.
         *
         * @param baseLength length of the base in bytes
         * @return true if the range is not empty and does not exceed the base
         */
        boolean isValidFor(int baseLength);

        /**
         * Appends the range to the target.
         *
         * @param target buffer that receives the range
         * @param base the base content
         */
        void appendTo(ByteBuffer target, byte[] base);
    }

    /**
     * Copies a range of the base.
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
     * Inserts bytes that are part of the delta.
     *
     * @param bytes the bytes to insert
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
     * Computes the delta between two contents, in time linear in their lengths.
     *
     * @param base the content that the receiver has
     * @param target the content to send; {@link #applyTo} rejects one longer than {@link #MAX_TARGET_BYTES}
     * @return the delta
     */
    public static ContentDelta between(byte[] base, byte[] target) {
        return new ContentDelta(target.length, checksumOf(target), new BlockMatcher(base, target).findInstructions());
    }

    /**
     * Restores the target content.
     *
     * @param base the base content
     * @return the target content; empty if the base differs from the base of the delta or the delta is malformed
     */
    public Optional<byte[]> applyTo(byte[] base) {
        if (targetLength < 0 || targetLength > MAX_TARGET_BYTES || !instructionsAreValid(base.length)) {
            return Optional.empty();
        }
        ByteBuffer target = ByteBuffer.allocate(targetLength);
        instructions.forEach(instruction -> instruction.appendTo(target, base));
        return checksumOf(target.array()) == checksum ? Optional.of(target.array()) : Optional.empty();
    }

    /** Checks all instructions before the target is allocated. */
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
     * Returns an upper bound of the encoded size of the delta, which may exceed the size of the whole content.
     *
     * @return the size in bytes
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
     * with processor instructions, and together they detect differences that a 32-bit checksum misses.
     *
     * @param content the content
     * @return the checksum
     */
    public static long checksumOf(byte[] content) {
        return value(new CRC32C(), content) << Integer.SIZE | value(new CRC32(), content);
    }

    private static long value(Checksum checksum, byte[] content) {
        checksum.update(content, 0, content.length);
        return checksum.getValue();
    }
}
