package org.gooseberryhill.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a key of a client account. Immutable.
 *
 * <p>Keys are kept and compared as digests only, so that neither a log line nor a heap dump of the lookup table shows one.
 *
 * @param hex the digest in hexadecimal
 */
public record KeyDigest(String hex) {
    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        byte[] digest = sha256().digest(key.getBytes(StandardCharsets.UTF_8));
        return new KeyDigest(HexFormat.of().formatHex(digest));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    // Explicit, since linking the generated methods at their first use adds some ten milliseconds to a host's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest that && hex.equals(that.hex);
    }

    @Override
    public int hashCode() {
        return hex.hashCode();
    }
}
