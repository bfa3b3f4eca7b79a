package org.gooseberryhill.decision.requestbatch;

/**
 * The final result of an item; each item gets exactly one. Immutable.
 *
 * @param id the item's id
 * @param state how the item ended
 * @param text the data of all its events, separated by line feeds; empty if the item was given up
 */
public record ItemResult(String id, ItemState state, String text) {}
