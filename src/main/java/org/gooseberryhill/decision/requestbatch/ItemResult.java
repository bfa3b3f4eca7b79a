package org.gooseberryhill.decision.requestbatch;

/**
 * The one completion of an item. Immutable.
 *
 * @param id the item's id
 * @param state how it ended
 * @param text the data of all its events, separated by line feeds; empty for one that was given up
 */
public record ItemResult(String id, ItemState state, String text) {}
