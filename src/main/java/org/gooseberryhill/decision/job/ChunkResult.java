package org.gooseberryhill.decision.job;

import java.util.List;

/**
 * The completions of all items of a chunk, ready to be stored and committed. Immutable.
 *
 * @param chunk the chunk's number, from 0
 * @param lines one JSON line an item, in the order of the items
 * @param failed how many of them failed for good
 */
public record ChunkResult(int chunk, List<String> lines, int failed) {}
