package org.gooseberryhill.contract;

/**
 * A part of a prompt; requests with equal first parts share what an endpoint keeps of them. Immutable.
 *
 * @param id equal for equal parts
 * @param tokens how many tokens it has
 */
public record PromptPart(String id, int tokens) {}
