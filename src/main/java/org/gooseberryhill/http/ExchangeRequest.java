package org.gooseberryhill.http;

import java.util.Map;
import org.gooseberryhill.link.Address;

/**
 * A request to an endpoint or to the platform. Immutable.
 *
 * @param address where to
 * @param method the method
 * @param target path and query
 * @param headers the headers; host and length are added
 * @param body the whole body
 * @param silenceMillis how long the other side may be silent before the exchange fails
 * @param freshConnection whether a new connection is made: a kept one may be closing just now, which would make the
 *     outcome of a request that must not be repeated unknown without need
 */
public record ExchangeRequest(
        Address address,
        String method,
        String target,
        Map<String, String> headers,
        byte[] body,
        int silenceMillis,
        boolean freshConnection) {}
