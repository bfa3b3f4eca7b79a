package org.gooseberryhill.decision.requestbatch;

/**
 * The output that an open item has generated so far. Immutable.
 *
 * @param id the item's id
 * @param lastEventId the id of the event after which the next run resumes
 * @param text the data of the events so far, separated by line feeds
 */
public record ItemCheckpoint(String id, long lastEventId, String text) {}
