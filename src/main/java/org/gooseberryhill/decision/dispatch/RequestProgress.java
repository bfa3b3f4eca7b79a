package org.gooseberryhill.decision.dispatch;

import org.gooseberryhill.contract.Outcome;

/**
 * Tracks the progress of a routed request over its attempts. Immutable.
 *
 * @param outcome what is known about its effect
 * @param runs number of endpoints that may have run it
 * @param sends number of times it was sent
 * @param answerBegun whether the caller has received a part of the answer
 */
record RequestProgress(Outcome outcome, int runs, int sends, boolean answerBegun) {
    RequestProgress withSend() {
        return new RequestProgress(outcome, runs, sends + 1, answerBegun);
    }

    RequestProgress withAnswerBegun() {
        return new RequestProgress(outcome, runs, sends, true);
    }

    /** Returns the progress after the current attempt has ended. */
    RequestProgress after(AttemptEnd end) {
        return end.mayHaveRun() ? new RequestProgress(Outcome.MAY_HAVE_RUN, runs + 1, sends, answerBegun) : this;
    }
}
