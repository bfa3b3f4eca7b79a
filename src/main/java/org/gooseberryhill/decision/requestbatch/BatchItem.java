package org.gooseberryhill.decision.requestbatch;

import java.util.Map;

/**
 * One request of a batch, as its caller submitted it. Immutable but for its array, which is not changed.
 *
 * @param id unique in the batch; the name of each of its runs
 * @param path the path and query at the endpoint
 * @param headers headers for the endpoint, one value each
 * @param body the body
 * @param tokens the tokens of its prompt and the most output tokens, summed
 */
public record BatchItem(String id, String path, Map<String, String> headers, byte[] body, int tokens) {}
