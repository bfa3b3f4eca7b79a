package org.gooseberryhill.decision.job;

/**
 * A steward's report to the job's owner on a run of an item. Immutable.
 *
 * @param index the index of the item in the job
 * @param fence the owner's fencing token: the revision of its claim under which the item was handed out
 * @param handout the number of the hand-out that the report belongs to
 * @param end how the run ended
 * @param text the result, the text generated so far, or the reason of the failure
 * @param tokens the number of tokens of the text
 */
public record ItemOutcome(int index, long fence, long handout, ItemEnd end, String text, int tokens) {}
