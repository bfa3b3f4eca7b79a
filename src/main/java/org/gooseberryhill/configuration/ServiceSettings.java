package org.gooseberryhill.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A service that callers use. Immutable.
 *
 * @param name its name
 * @param model the model that serves it; empty for a plain service
 * @param nonIdempotentCalls method and path prefix of the calls that may not be repeated, such as {@code POST /bookings}
 * @param firstTokenTargetMillis the class target for the first token, in milliseconds
 * @param betweenTokensTargetMillis the class target between tokens, in milliseconds
 * @param batchWeightPercent how much of the capacity that online leaves batch may fill, in percent
 */
public record ServiceSettings(
        String name,
        Optional<String> model,
        List<String> nonIdempotentCalls,
        int firstTokenTargetMillis,
        int betweenTokensTargetMillis,
        int batchWeightPercent) {
    /** Whether a call of this service may have an effect each time it runs. */
    public boolean isNonIdempotent(String method, String path) {
        for (String call : nonIdempotentCalls) {
            int space = call.indexOf(' ');
            String prefix = call.substring(space + 1);
            if (call.substring(0, space).equals(method) && isPathPrefix(prefix, path)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isPathPrefix(String prefix, String path) {
        String plain = path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'));
        return plain.equals(prefix) || plain.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
    }
}
