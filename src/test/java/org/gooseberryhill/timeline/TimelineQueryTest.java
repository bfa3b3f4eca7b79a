package org.gooseberryhill.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.link.HybridTimestamp;
import org.junit.jupiter.api.Test;

class TimelineQueryTest {
    private final List<TimelineEvent> events = new ArrayList<>();

    @Test
    void theEventsOfARequestAreFoundOnAllProcesses() {
        add(0, "a", EventKind.ATTEMPT_SENT, "r1", "e1");
        add(1, "b", EventKind.ATTEMPT_SENT, "r2", "e1");
        add(2, "b", EventKind.REQUEST_FAILED, "r1", "");

        assertThat(select(query("r1", false))).containsExactly("attempt.sent", "request.failed");
    }

    /**
     * A host is lost with a request in progress and writes no event about its end. The surroundings show that another
     * host detected the loss, that the host restarted, and the state of the endpoint concerned.
     */
    @Test
    void surroundingsOfARequestShowProcessAndEndpointState() {
        add(0, "b", EventKind.STORE_LOST, "", "");
        add(6_000, "b", EventKind.DIRECTORY_CHANGED, "", "other");
        add(6_000, "b", EventKind.ENDPOINT_HEALTH, "", "e1");
        add(7_000, "a", EventKind.ATTEMPT_SENT, "r1", "e1");
        add(9_000, "b", EventKind.ATTEMPT_SENT, "r2", "e1");
        add(10_500, "b", EventKind.PEER_SILENT, "", "");
        add(11_000, "a", EventKind.PROCESS_STARTED, "", "");
        add(13_000, "b", EventKind.STORE_REGAINED, "", "");

        assertThat(select(query("r1", true)))
                .containsExactly("endpoint.health", "attempt.sent", "peer.silent", "process.started");
    }

    @Test
    void aQueryForAnItemExcludesOtherItemsOfItsBatch() {
        add(0, "a", EventKind.ITEM_STARTED, "", "e1", "job", "b", "item", "i1");
        add(1, "a", EventKind.ITEM_STARTED, "", "e1", "job", "b", "item", "i2");
        TimelineQuery query =
                new TimelineQuery(Optional.empty(), Optional.of("b"), Optional.of("i2"), Optional.empty(), false);

        assertThat(query.select(events))
                .extracting(event -> event.detail("item"))
                .containsExactly("i2");
    }

    private static TimelineQuery query(String request, boolean surroundings) {
        return new TimelineQuery(
                Optional.of(request), Optional.empty(), Optional.empty(), Optional.empty(), surroundings);
    }

    private List<String> select(TimelineQuery query) {
        return query.select(events).stream().map(TimelineEvent::kind).toList();
    }

    private void add(long millis, String process, EventKind kind, String request, String endpoint, String... details) {
        Optional<String> job = details.length > 1 ? Optional.of(details[1]) : Optional.empty();
        Map<String, Object> extraDetails = details.length > 2 ? Map.of(details[2], details[3]) : Map.of();
        events.add(new TimelineEvent(
                HybridTimestamp.ofMillis(1_000_000 + millis),
                process,
                kind.wireName(),
                nonEmpty(request),
                job,
                nonEmpty(endpoint),
                extraDetails));
    }

    private static Optional<String> nonEmpty(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(text);
    }
}
