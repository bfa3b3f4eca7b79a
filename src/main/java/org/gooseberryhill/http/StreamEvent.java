package org.gooseberryhill.http;

import java.util.Optional;

/**
 * One server-sent event. Immutable but for its array, which is not changed.
 *
 * @param raw its bytes as they came, the blank line at its end included
 * @param id its id, if it has a whole number as one
 * @param data its data lines, joined by line feeds
 */
public record StreamEvent(byte[] raw, Optional<Long> id, String data) {}
