package org.gooseberryhill.route;

/**
 * What the endpoints of a model service have in common. Immutable.
 *
 * @param slots how many requests one endpoint runs at once
 * @param kvCapacityTokens the tokens that its memory holds, running and cached together
 */
public record EngineTraits(int slots, long kvCapacityTokens) {}
