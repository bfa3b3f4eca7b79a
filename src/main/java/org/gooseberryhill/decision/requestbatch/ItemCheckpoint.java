package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.link.JsonLength;

/**
 * The output that an open item has generated so far. Immutable.
 *
 * @param id the item's id
 * @param lastEventId the id of the event after which the next run resumes
 * @param text the data of the events so far, separated by line feeds
 * @param generatedBy the version that generated the output; empty in checkpoints of versions of the system that did not write it
 */
public record ItemCheckpoint(String id, long lastEventId, String text, Optional<ServiceVersion> generatedBy) {
    /** Bytes of everything but the texts; enough for the names of the fields and the number. */
    private static final int OTHER_BYTES = 80;

    /** Returns an upper bound of the bytes that the checkpoint takes in a JSON list. */
    public int encodedBytes() {
        int versionBytes = generatedBy
                .map(version -> JsonLength.of(version.service()) + JsonLength.of(version.softwareVersion()))
                .orElse(0);
        return OTHER_BYTES + JsonLength.of(id) + JsonLength.of(text) + versionBytes;
    }
}
