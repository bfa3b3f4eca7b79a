package org.gooseberryhill.http;

import java.util.Map;
import org.gooseberryhill.link.Address;

/**
 * A request to an endpoint or to an external service. Immutable.
 *
 * @param address the address to connect to
 * @param method the HTTP method
 * @param target path and query
 * @param headers the headers; {@code Content-Length} is added, and {@code Host} where it is missing
 * @param body the complete body
 * @param options how the connection is used
 */
public record ExchangeRequest(
        Address address,
        String method,
        String target,
        Iterable<Map.Entry<String, String>> headers,
        byte[] body,
        ExchangeOptions options) {
    /**
     * Creates a request with one value per header.
     *
     * @param freshConnection whether to use a new connection instead of an idle one
     */
    public ExchangeRequest(
            Address address,
            String method,
            String target,
            Map<String, String> headers,
            byte[] body,
            int silenceTimeoutMillis,
            boolean freshConnection) {
        this(address, method, target, headers.entrySet(), body, options(silenceTimeoutMillis, freshConnection));
    }

    private static ExchangeOptions options(int silenceTimeoutMillis, boolean freshConnection) {
        ExchangeOptions options = ExchangeOptions.withSilenceTimeout(silenceTimeoutMillis);
        return freshConnection ? options.onFreshConnection() : options;
    }
}
