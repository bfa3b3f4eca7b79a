package org.gooseberryhill.contract;

/**
 * A part of a prompt. Requests whose leading parts are equal share the prefix that an endpoint caches. Immutable.
 *
 * @param id the identity of the content; equal for equal parts
 * @param tokens the number of tokens
 */
public record PromptPart(String id, int tokens) {}
