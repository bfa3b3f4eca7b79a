package org.gooseberryhill.entry;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.configuration.CallerSettings;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.http.HttpCall;

/**
 * Authenticates callers by their bearer keys. Thread-safe: a new configuration replaces the snapshot that traffic
 * threads read.
 */
final class AccessControl {
    private static final String BEARER = "Bearer ";

    private volatile Snapshot snapshot = new Snapshot(Configuration.EMPTY, Map.of());

    /** Applies a new configuration. */
    void configure(Configuration configuration) {
        Map<String, CallerSettings> byHash = new HashMap<>();
        configuration.callers().values().forEach(caller -> byHash.put(caller.keySha256(), caller));
        snapshot = new Snapshot(configuration, byHash);
    }

    Configuration configuration() {
        return snapshot.configuration;
    }

    /** Returns the caller whose key the request carries. Only hashes are compared, so no key is stored. */
    Optional<CallerSettings> authenticate(HttpCall call) {
        String header = call.headers().get("authorization");
        if (header == null || !header.startsWith(BEARER)) {
            return Optional.empty();
        }
        byte[] key = header.substring(BEARER.length()).trim().getBytes(StandardCharsets.UTF_8);
        return Optional.ofNullable(snapshot.callersByKeyHash.get(Fingerprint.sha256Hex(key)));
    }

    /** A configuration with the index of its callers by the SHA-256 hash of their keys. */
    private record Snapshot(Configuration configuration, Map<String, CallerSettings> callersByKeyHash) {}
}
