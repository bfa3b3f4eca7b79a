package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.link.JsonLength;

/**
 * What an open item has gone through so far: its output and its failed attempts. Immutable.
 *
 * @param id the item's id
 * @param lastEventId the id of the event after which the next run resumes; 0 if there is no output
 * @param text the data of the events so far, separated by line feeds
 * @param generatedBy the version that generated the output; empty if there is no output, and in checkpoints of versions of the
 *     system that did not write it
 * @param errorAnswers the number of runs that ended with an error answer, at all owners of the item
 */
public record ItemCheckpoint(
        String id, long lastEventId, String text, Optional<ServiceVersion> generatedBy, int errorAnswers) {
    /** Bytes of everything but the texts; enough for the names of the fields and the numbers. */
    private static final int OTHER_BYTES = 110;

    /** Creates the checkpoint of an item without failed attempts. */
    public ItemCheckpoint(String id, long lastEventId, String text, Optional<ServiceVersion> generatedBy) {
        this(id, lastEventId, text, generatedBy, 0);
    }

    /** Returns the checkpoint of an item without output. */
    static ItemCheckpoint withoutOutput(String id, int errorAnswers) {
        return new ItemCheckpoint(id, 0, "", Optional.empty(), errorAnswers);
    }

    /** Returns this checkpoint with the given number of failed attempts. */
    public ItemCheckpoint withErrorAnswers(int count) {
        return new ItemCheckpoint(id, lastEventId, text, generatedBy, count);
    }

    /** Returns an upper bound of the bytes that the checkpoint takes in a JSON list. */
    public int encodedBytes() {
        int versionBytes = generatedBy
                .map(version -> JsonLength.of(version.service()) + JsonLength.of(version.softwareVersion()))
                .orElse(0);
        return OTHER_BYTES + JsonLength.of(id) + JsonLength.of(text) + versionBytes;
    }
}
