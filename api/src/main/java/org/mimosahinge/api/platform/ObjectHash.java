package org.mimosahinge.api.platform;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 hash of the content of an object.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record ObjectHash(String hex) {
    /**
     * Computes the hash of a content.
     *
     * @param content content of the object
     * @return the hash
     */
    public static ObjectHash of(byte[] content) {
        try {
            return new ObjectHash(HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(content)));
        } catch (NoSuchAlgorithmException e) {
            // Every implementation of the Java platform must support SHA-256.
            throw new AssertionError(e);
        }
    }

    /**
     * Computes the hash of a text encoded as UTF-8.
     *
     * @param content text of the object
     * @return the hash
     */
    public static ObjectHash of(String content) {
        return of(content.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return hex;
    }
}
