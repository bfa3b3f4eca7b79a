package org.gooseberryhill.decision.requestbatch;

/**
 * What an open item has generated so far. Immutable.
 *
 * @param id the item's id
 * @param lastEventId the event after which it goes on
 * @param text the data of the events so far
 */
public record ItemCheckpoint(String id, long lastEventId, String text) {}
