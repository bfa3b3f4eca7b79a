package org.gooseberryhill.decision.job;

/**
 * A finished chunk's record: its existence is the completion of each item in it. Immutable.
 *
 * @param segment the name of the segment with the results, one line an item
 * @param items how many items it has
 * @param failed how many of them failed for good
 * @param fence the owner's fence at the commit
 */
public record ChunkRecord(String segment, int items, int failed, long fence) {}
