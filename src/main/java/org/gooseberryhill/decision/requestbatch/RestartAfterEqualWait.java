package org.gooseberryhill.decision.requestbatch;

/**
 * Lets an item wait for as long as it would take to generate its output again. Stateless.
 *
 * <p>Invariant: an item loses at most twice the time that it would lose by the better of waiting and starting anew.
 */
public final class RestartAfterEqualWait implements RestartPolicy {
    @Override
    public boolean startsAnew(long passedOverMillis, long generatedMillis) {
        return passedOverMillis >= generatedMillis;
    }
}
