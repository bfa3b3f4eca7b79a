package org.gooseberryhill.decision.requestbatch;

/** Lets an item wait for a slot of its version for as long as an endpoint of that version stays. Stateless. */
public final class RestartNever implements RestartPolicy {
    @Override
    public boolean startsAnew(long passedOverMillis, long generatedMillis) {
        return false;
    }
}
