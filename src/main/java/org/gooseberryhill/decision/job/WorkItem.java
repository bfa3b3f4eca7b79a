package org.gooseberryhill.decision.job;

/**
 * An item that a job's owner has handed out to a steward, which is to run it and report the outcome. Immutable.
 *
 * @param job the job as {@code caller/id}
 * @param index the index of the item in the job, from 0
 * @param fence the owner's fencing token: the revision of its claim under which the item was handed out
 * @param handout the number of this hand-out under that claim, which the report must carry
 * @param body the request body, one JSON object
 * @param partial the text that an earlier run generated before it yielded; empty if there is none
 * @param partialTokens the number of tokens of that text
 * @param suspect whether the item was in flight at a crash and has to run in isolation
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
