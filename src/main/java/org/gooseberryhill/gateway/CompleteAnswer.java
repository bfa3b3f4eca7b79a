package org.gooseberryhill.gateway;

import java.util.Map;

/**
 * Complete answer of an endpoint. Immutable except for its array, which is not changed.
 *
 * @param status status code
 * @param headers headers for the caller
 * @param body body
 */
record CompleteAnswer(int status, Iterable<Map.Entry<String, String>> headers, byte[] body) {}
