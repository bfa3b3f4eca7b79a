package org.gooseberryhill.decision.memory;

import java.util.OptionalLong;

/**
 * What the head of a request tells about the memory that it needs. Immutable.
 *
 * @param answerKind the kind of its answer
 * @param bodyBytes the length of its body; empty if the head does not tell
 * @param callerReadsSlowly whether earlier answers on its connection are unsent
 */
public record RequestDemand(AnswerKind answerKind, OptionalLong bodyBytes, boolean callerReadsSlowly) {}
