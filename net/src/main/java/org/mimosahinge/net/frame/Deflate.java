package org.mimosahinge.net.frame;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.mimosahinge.api.error.FrameException;

/** Compresses sections and operators' rows for transmission, as raw DEFLATE data without a zlib header. */
public final class Deflate {

    /** Largest uncompressed size; limits how much memory a small malformed frame can make the receiver allocate. */
    private static final int MAX_CONTENT_BYTES = 1 << 20;

    private static final int CHUNK_BYTES = 4096;

    private Deflate() {}

    /**
     * Compresses a byte array.
     *
     * @param content the uncompressed bytes, at most 1 MiB
     * @return the compressed bytes
     * @throws FrameException when the content exceeds 1 MiB
     */
    public static byte[] compress(byte[] content) {
        // Longer content may still compress into one frame, but the receiver would reject it and close the connection.
        if (content.length > MAX_CONTENT_BYTES) {
            throw new FrameException(
                    "Content of " + content.length + " bytes exceeds the limit of " + MAX_CONTENT_BYTES);
        }
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        try {
            deflater.setInput(content);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!deflater.finished()) {
                out.write(chunk, 0, deflater.deflate(chunk));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses a byte array to at most 1 MiB.
     *
     * @param compressed the compressed bytes
     * @return the uncompressed bytes
     * @throws FrameException when the data is malformed, truncated or decompresses to more than 1 MiB
     */
    public static byte[] decompress(byte[] compressed) {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(chunk);
                if (count == 0 && !inflater.finished()) {
                    throw new FrameException("Compressed content is truncated");
                }
                out.write(chunk, 0, count);
                if (out.size() > MAX_CONTENT_BYTES) {
                    throw new FrameException("Decompressed content exceeds " + MAX_CONTENT_BYTES + " bytes");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new FrameException("Malformed compressed content: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
