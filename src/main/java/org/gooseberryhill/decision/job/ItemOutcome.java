package org.gooseberryhill.decision.job;

/**
 * A steward's report on a run, as the owner takes it in. Immutable.
 *
 * @param index the item's place in the job
 * @param fence the owner's claim that the hand-out belongs to
 * @param handout the hand-out that the report belongs to
 * @param end how the run ended
 * @param text the result, what was generated so far, or the reason
 * @param tokens how many tokens the text has
 */
public record ItemOutcome(int index, long fence, long handout, ItemEnd end, String text, int tokens) {}
