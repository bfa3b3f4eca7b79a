package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.timeline.Timeline;
import org.gooseberryhill.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

class LatestValueDeliveryTest {
    private final List<TimelineEvent> events = new ArrayList<>();
    private final Queue<Runnable> repeats = new ArrayDeque<>();
    private final List<String> taken = new ArrayList<>();
    private final List<String> delivered = new ArrayList<>();
    private boolean fails = true;
    private final LatestValueDelivery<String> delivery = new LatestValueDelivery<>(
            "endpoints",
            new Timeline("host", new HybridClock(() -> 0), events::add),
            repeats::add,
            List.of(this::takeUnlessFailing, value -> taken.add("sound " + value)),
            delivered::add);

    /** Guards against a configuration that is half in force, and endpoints that are lost, until the next change. */
    @Test
    void aReceiverThatThrowsGetsTheLatestValueAgainAndTheOthersGetItOnce() {
        delivery.deliver("1");
        delivery.deliver("2");
        repeats.remove().run();
        assertThat(taken).containsExactly("sound 1", "sound 2");
        assertThat(delivered).isEmpty();

        fails = false;
        repeats.remove().run();

        assertThat(taken).containsExactly("sound 1", "sound 2", "2");
        assertThat(delivered).containsExactly("2");
        assertThat(repeats).isEmpty();
        assertThat(events).hasSize(2);
    }

    private void takeUnlessFailing(String value) {
        if (fails) {
            throw new IllegalStateException("can't be applied");
        }
        taken.add(value);
    }
}
