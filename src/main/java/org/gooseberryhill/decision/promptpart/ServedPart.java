package org.gooseberryhill.decision.promptpart;

/**
 * A part of prompts that was answered, as hosts tell each other. Immutable.
 *
 * @param part the part
 * @param sentNanos when the run that was answered was sent, in nanoseconds
 */
public record ServedPart(PromptPartKey part, long sentNanos) {}
