package org.gooseberryhill.decision.requestbatch;

/**
 * Decides whether an item that waits for a slot of the version that generated its output gives this output up for a slot of another
 * version. Stateless implementations.
 */
public interface RestartPolicy {
    /**
     * Returns whether an item starts anew.
     *
     * @param passedOverMillis time since the item first passed over a slot of another version
     * @param generatedMillis expected time to generate the output again
     */
    boolean startsAnew(long passedOverMillis, long generatedMillis);
}
