package org.mimosahinge.net.frame;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.mimosahinge.api.error.FrameException;

/** Compresses sections and operators' rows for the wire. */
public final class Deflate {

    /** Largest content; bounds what a small malformed frame can make the receiver allocate. */
    private static final int MAX_CONTENT_BYTES = 1 << 20;

    private static final int CHUNK_BYTES = 4096;

    private Deflate() {}

    /**
     * Compresses content.
     *
     * @param content the content, at most 1 MiB
     * @return the compressed bytes
     */
    public static byte[] compress(byte[] content) {
        // A longer content might fit into a frame, and the receiver would close the connection.
        if (content.length > MAX_CONTENT_BYTES) {
            throw new FrameException("Content of " + content.length + " bytes exceeds " + MAX_CONTENT_BYTES);
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
     * Restores compressed content of at most 1 MiB.
     *
     * @param compressed the compressed bytes
     * @return the content
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
                    throw new FrameException("Compressed content ends early");
                }
                out.write(chunk, 0, count);
                if (out.size() > MAX_CONTENT_BYTES) {
                    throw new FrameException("Content exceeds " + MAX_CONTENT_BYTES + " bytes");
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
