package org.gooseberryhill.decision.requestbatch;

import java.util.Map;

/**
 * One request of a batch, as its caller submitted it. Immutable, provided that the body array is not modified.
 *
 * @param id unique within the batch; identifies each of its runs
 * @param path the path and query at the endpoint
 * @param headers headers for the endpoint, one value each
 * @param body the request body
 * @param tokens the number of prompt tokens plus the maximum number of output tokens
 */
public record BatchItem(String id, String path, Map<String, String> headers, byte[] body, int tokens) {}
