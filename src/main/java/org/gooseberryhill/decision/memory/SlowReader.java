package org.gooseberryhill.decision.memory;

/** A connection with an answer that its caller has not read completely. */
public interface SlowReader {
    /** Returns the kind of its answer. */
    AnswerKind answerKind();

    /** Returns the unsent bytes of the connection. */
    long unsentBytes();

    /**
     * Returns when the connection last accepted data, as far as that was observed; the call itself is an observation.
     *
     * @param nowNanos the current time
     */
    long acceptedDataNanos(long nowNanos);
}
