package org.gooseberryhill.decision.dispatch;

import org.gooseberryhill.contract.Outcome;

/**
 * Tracks the progress of a routed request over its attempts. Immutable.
 *
 * @param outcome what is known about its effect
 * @param possibleRuns number of endpoints that may have run it
 * @param sends number of times it was sent
 * @param answerStarted whether the caller has received a part of the answer
 */
record RequestProgress(Outcome outcome, int possibleRuns, int sends, boolean answerStarted) {
    RequestProgress withSend() {
        return new RequestProgress(outcome, possibleRuns, sends + 1, answerStarted);
    }

    RequestProgress withAnswerStarted() {
        return new RequestProgress(outcome, possibleRuns, sends, true);
    }

    /** Returns the progress after the current attempt has ended. */
    RequestProgress after(AttemptEnd end) {
        return end.mayHaveRun()
                ? new RequestProgress(Outcome.MAY_HAVE_RUN, possibleRuns + 1, sends, answerStarted)
                : this;
    }
}
