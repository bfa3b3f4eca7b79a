package org.gooseberryhill.decision.job;

import java.util.List;

/**
 * The completions of all items of a chunk, to be stored and committed. Immutable.
 *
 * @param chunk the index of the chunk in the job, from 0
 * @param lines one line of JSON per item, in the order of the items
 * @param failed the number of items that failed permanently
 */
public record ChunkResult(int chunk, List<String> lines, int failed) {}
