package org.gooseberryhill.contract;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest that is equal for equal requests on all hosts. Immutable.
 *
 * @param value the first 16 bytes of a SHA-256, in hexadecimal
 */
public record Fingerprint(String value) {
    private static final int BYTES = 16;

    /** Computes the fingerprint of a request to a service or model. */
    public static Fingerprint of(String service, byte[] body) {
        MessageDigest digest = sha256();
        digest.update(service.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        byte[] hash = digest.digest(body);
        return new Fingerprint(HexFormat.of().formatHex(hash, 0, BYTES));
    }

    /** Returns a hash that is equal on all hosts for equal requests. */
    public long hash() {
        return Hashing.komihash5_0().hashCharsToLong(value);
    }

    /** Computes the full SHA-256 of the bytes, in hexadecimal. */
    public static String sha256Hex(byte[] bytes) {
        return HexFormat.of().formatHex(sha256().digest(bytes));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required on every Java platform", e);
        }
    }
}
