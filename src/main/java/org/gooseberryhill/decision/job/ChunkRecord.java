package org.gooseberryhill.decision.job;

/**
 * The record of a finished chunk in the key-value store; its existence completes all items of the chunk. Immutable.
 *
 * @param segment the name of the segment with the results, one line per item
 * @param items the number of items
 * @param failed the number of items that failed permanently
 * @param fence the owner's fencing token at the commit
 */
public record ChunkRecord(String segment, int items, int failed, long fence) {}
