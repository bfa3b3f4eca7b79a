package org.gooseberryhill.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.link.HybridClock;
import org.junit.jupiter.api.Test;

class TimelineTest {
    private final List<TimelineEvent> accepted = new ArrayList<>();
    private long nowNanos = TimeUnit.SECONDS.toNanos(5);
    private final Timeline timeline = new Timeline("p", new HybridClock(() -> 1000), accepted::add, () -> nowNanos);

    @Test
    void anEventIsUnchangedAfterFormattingAndParsing() {
        timeline.event(EventKind.ATTEMPT_FAILED)
                .request("r1")
                .endpoint("e1")
                .with("attempt", 2)
                .with("detail", "status \"503\"")
                .write();

        TimelineEvent event = accepted.get(0);
        TimelineEvent parsed =
                TimelineLineFormat.parse(TimelineLineFormat.format(event)).orElseThrow();

        assertThat(parsed.at()).isEqualTo(event.at());
        assertThat(parsed.kind()).isEqualTo("attempt.failed");
        assertThat(parsed.request()).contains("r1");
        assertThat(parsed.endpoint()).contains("e1");
        assertThat(parsed.detail("attempt")).isEqualTo("2");
        assertThat(parsed.detail("detail")).isEqualTo("status \"503\"");
    }

    @Test
    void linesThatAreNotEventsAreSkipped() {
        assertThat(TimelineLineFormat.parse("{\"at\":1,\"ki")).isEmpty();
        assertThat(TimelineLineFormat.parse("plain text")).isEmpty();
        assertThat(TimelineLineFormat.parse("{\"level\":\"WARN\",\"message\":\"m\"}"))
                .isEmpty();
    }

    /** Many requests end within one second: their events are limited, and the number of dropped events is reported. */
    @Test
    void routineEventsAreLimitedAndDropsAreCounted() {
        for (int i = 0; i < 1000; i++) {
            timeline.event(EventKind.REQUEST_ENDED).request("r" + i).write();
        }
        assertThat(accepted).hasSize(EventLimiter.ROUTINE_PER_SECOND);

        nowNanos += TimeUnit.SECONDS.toNanos(1);
        timeline.event(EventKind.REQUEST_ENDED).request("later").write();

        TimelineEvent dropped = accepted.get(EventLimiter.ROUTINE_PER_SECOND);
        assertThat(dropped.kind()).isEqualTo("lines.dropped");
        assertThat(dropped.detail("request.ended")).isEqualTo("800");
    }

    /** One request fails among many successful ones: its event is written regardless of their number. */
    @Test
    void aFailureIsWrittenAmongManyRoutineEvents() {
        for (int i = 0; i < 5000; i++) {
            timeline.event(EventKind.REQUEST_ENDED).request("r" + i).write();
            timeline.event(EventKind.ATTEMPT_SENT).request("r" + i).write();
        }
        timeline.event(EventKind.REQUEST_FAILED).request("failed").write();

        assertThat(accepted).anyMatch(event -> event.request().equals(Optional.of("failed")));
    }
}
