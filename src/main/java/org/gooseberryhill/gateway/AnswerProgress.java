package org.gooseberryhill.gateway;

import java.util.Optional;
import org.gooseberryhill.http.BodyFraming;
import org.gooseberryhill.timeline.EventBuilder;

/**
 * How much of an endpoint's answer an attempt received. Immutable.
 *
 * @param status status of the answer; empty if no answer began
 * @param framing how the answer marks its end; empty if no answer began
 * @param lastEventId id of the last complete event of the stream; empty if there is none
 * @param unfinishedBytes number of bytes after the last complete event of the stream; 0 for other answers
 * @param eventNanos mean time between the last events of the stream; 0 if there were too few, and for other answers
 */
record AnswerProgress(
        Optional<Integer> status,
        Optional<BodyFraming> framing,
        Optional<Long> lastEventId,
        int unfinishedBytes,
        long eventNanos) {
    /** Adds the progress to a log line. */
    void addTo(EventBuilder event) {
        status.ifPresent(given -> event.with("answerStatus", given));
        framing.ifPresent(given -> event.with("framing", given));
        lastEventId.ifPresent(id -> event.with("lastEvent", id));
        if (unfinishedBytes > 0) {
            event.with("unfinishedBytes", unfinishedBytes);
        }
    }
}
