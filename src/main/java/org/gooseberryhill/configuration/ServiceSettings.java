package org.gooseberryhill.configuration;

import java.util.List;
import java.util.Optional;

/**
 * The settings of a service. Immutable.
 *
 * @param name the service's name
 * @param model the model that serves it; empty for a plain service
 * @param nonIdempotentCalls the method and path prefix of each call that must not be retried, such as
 *     {@code POST /bookings}
 * @param firstTokenTargetMillis the latency target for the first token, in milliseconds
 * @param betweenTokensTargetMillis the latency target between tokens, in milliseconds
 * @param batchWeightPercent the share of the capacity left by online requests that batch work may use, in percent
 */
public record ServiceSettings(
        String name,
        Optional<String> model,
        List<String> nonIdempotentCalls,
        int firstTokenTargetMillis,
        int betweenTokensTargetMillis,
        int batchWeightPercent) {
    /** Returns whether a call of this service may have an effect each time it runs. */
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
        String pathWithoutQuery = path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'));
        return pathWithoutQuery.equals(prefix)
                || pathWithoutQuery.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
    }
}
