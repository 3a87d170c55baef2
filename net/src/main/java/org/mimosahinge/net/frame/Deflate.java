package org.mimosahinge.net.frame;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.mimosahinge.api.error.FrameException;

/** Compresses section content for the wire. */
public final class Deflate {

    /** Largest section; bounds what a small malformed frame can make the receiver allocate. */
    private static final int MAX_CONTENT_BYTES = 1 << 20;

    private static final int CHUNK_BYTES = 4096;

    private Deflate() {}

    /**
     * Compresses content.
     *
     * @param content the content
     * @return the compressed bytes
     */
    public static byte[] compress(byte[] content) {
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
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new FrameException("Compressed section ends early");
                }
                out.write(chunk, 0, count);
                if (out.size() > MAX_CONTENT_BYTES) {
                    throw new FrameException("Section exceeds " + MAX_CONTENT_BYTES + " bytes");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new FrameException("Malformed compressed section: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
