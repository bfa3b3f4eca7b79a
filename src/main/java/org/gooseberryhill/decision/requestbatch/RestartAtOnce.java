package org.gooseberryhill.decision.requestbatch;

/** Takes each slot that is free, so that none stays empty while items wait. Stateless. */
public final class RestartAtOnce implements RestartPolicy {
    @Override
    public boolean startsAnew(long passedOverMillis, long generatedMillis) {
        return true;
    }
}
