package org.mimosahinge.api.platform;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 of an object's content in lower-case hexadecimal.
 *
 * @param hex 64 hexadecimal digits
 */
public record ObjectHash(String hex) {
    /**
     * Hashes content.
     *
     * @param content the object's bytes
     * @return the hash
     */
    public static ObjectHash of(byte[] content) {
        try {
            return new ObjectHash(HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(content)));
        } catch (NoSuchAlgorithmException e) {
            // Every Java platform must provide SHA-256.
            throw new AssertionError(e);
        }
    }

    /**
     * Hashes text encoded as UTF-8.
     *
     * @param content the object's text
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
