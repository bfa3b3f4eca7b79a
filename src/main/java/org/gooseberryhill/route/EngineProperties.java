package org.gooseberryhill.route;

/**
 * Properties that the endpoints of a model service have in common. Immutable.
 *
 * @param slots number of requests that one endpoint runs concurrently
 * @param kvCapacityTokens number of tokens that the memory of one endpoint holds, running and cached ones together
 */
public record EngineProperties(int slots, long kvCapacityTokens) {}
