package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * The output that an open item has generated so far. Immutable.
 *
 * @param id the item's id
 * @param lastEventId the id of the event after which the next run resumes
 * @param text the data of the events so far, separated by line feeds
 * @param generatedBy the version that generated the output; empty in checkpoints of versions of the system that did not write it
 */
public record ItemCheckpoint(String id, long lastEventId, String text, Optional<ServiceVersion> generatedBy) {}
