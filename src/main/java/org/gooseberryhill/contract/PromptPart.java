package org.gooseberryhill.contract;

/**
 * A part of a prompt. Requests with equal leading parts share what an endpoint caches of them. Immutable.
 *
 * @param id equal for equal parts
 * @param tokens the number of tokens
 */
public record PromptPart(String id, int tokens) {}
