package org.gooseberryhill.decision.dispatch;

import org.gooseberryhill.contract.Outcome;

/**
 * How far a routed request has come. Immutable.
 *
 * @param outcome what is known of its effect
 * @param runs how many endpoints may have run it
 * @param sends how often it was sent
 * @param answerBegun whether its caller has a part of the answer
 */
record RequestProgress(Outcome outcome, int runs, int sends, boolean answerBegun) {
    RequestProgress withSend() {
        return new RequestProgress(outcome, runs, sends + 1, answerBegun);
    }

    RequestProgress withAnswerBegun() {
        return new RequestProgress(outcome, runs, sends, true);
    }

    /** The same once the present attempt has ended. */
    RequestProgress after(AttemptEnd end) {
        return end.mayHaveRun() ? new RequestProgress(Outcome.MAY_HAVE_RUN, runs + 1, sends, answerBegun) : this;
    }
}
