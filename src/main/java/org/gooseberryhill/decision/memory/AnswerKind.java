package org.gooseberryhill.decision.memory;

/** The kinds of answers, in the order in which their connections are closed to free memory. */
public enum AnswerKind {
    /** A page of a request batch. Its caller polls, so it reads the page again. */
    BATCH_READ,
    /** A stream of events. */
    STREAM,
    /** Any other answer. */
    PLAIN
}
