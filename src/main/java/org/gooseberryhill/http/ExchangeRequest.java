package org.gooseberryhill.http;

import java.util.Map;
import org.gooseberryhill.link.Address;

/**
 * A request to an endpoint or to an external service. Immutable.
 *
 * @param address where to
 * @param method the method
 * @param target path and query
 * @param headers the headers; the length is added, and the host where it is missing
 * @param body the whole body
 * @param options how the connection is used
 */
public record ExchangeRequest(
        Address address,
        String method,
        String target,
        Iterable<Map.Entry<String, String>> headers,
        byte[] body,
        ExchangeOptions options) {
    /** A request with one value a header, on a kept connection. */
    public ExchangeRequest(
            Address address,
            String method,
            String target,
            Map<String, String> headers,
            byte[] body,
            int silenceMillis,
            boolean freshConnection) {
        this(address, method, target, headers.entrySet(), body, options(silenceMillis, freshConnection));
    }

    private static ExchangeOptions options(int silenceMillis, boolean freshConnection) {
        ExchangeOptions options = ExchangeOptions.withSilence(silenceMillis);
        return freshConnection ? options.onFreshConnection() : options;
    }
}
