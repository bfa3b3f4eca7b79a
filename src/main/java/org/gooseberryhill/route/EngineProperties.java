package org.gooseberryhill.route;

/**
 * Properties that the endpoints of a model service have in common. Immutable.
 *
 * @param slots number of requests that one endpoint runs concurrently
 * @param kvCapacityTokens number of tokens that the KV cache of one endpoint holds: those of running requests and those
 *     of cached prompts together
 */
public record EngineProperties(int slots, long kvCapacityTokens) {}
