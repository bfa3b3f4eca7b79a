package org.gooseberryhill.decision.job;

/**
 * An item handed out to a steward. Immutable.
 *
 * @param job the job as {@code caller/id}
 * @param index the item's place in the job, from 0
 * @param fence the owner's claim that the hand-out belongs to
 * @param handout the number of this hand-out under that claim, which its report must carry
 * @param body the request body, one JSON object
 * @param partial what an earlier run generated before it yielded
 * @param partialTokens how many tokens that has
 * @param suspect whether it was in flight at a crash and has to run apart
 */
public record WorkItem(
        String job,
        int index,
        long fence,
        long handout,
        String body,
        String partial,
        int partialTokens,
        boolean suspect) {}
