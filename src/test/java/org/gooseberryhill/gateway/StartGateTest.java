package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StartGateTest {
    private final long startNanos = TimeUnit.SECONDS.toNanos(1);
    private final StartGate gate = new StartGate(startNanos);
    private final List<String> executed = new ArrayList<>();

    /** Requests arrive 0.1 s and 0.3 s after the start, the configuration after 0.4 s: both then continue in their order. */
    @Test
    void requestsHeldDuringTheStartContinueWhenTheHostCanServe() {
        assertThat(gate.runOrHold(() -> executed.add("one"), after(100))).isTrue();
        assertThat(gate.runOrHold(() -> executed.add("two"), after(300))).isTrue();
        assertThat(executed).isEmpty();

        gate.open();

        assertThat(executed).containsExactly("one", "two");
        gate.runOrHold(() -> executed.add("three"), after(500));
        assertThat(executed).hasSize(3);
    }

    /** The store is unavailable: a held request is released after 1.5 s, to be refused, and later ones are not held. */
    @Test
    void requestsAreNotHeldForLongWhileTheStoreIsUnavailable() {
        gate.runOrHold(() -> executed.add("one"), after(100));
        gate.tick(after(1400));
        assertThat(executed).isEmpty();

        gate.tick(after(1501));

        assertThat(executed).containsExactly("one");
        assertThat(gate.runOrHold(() -> executed.add("two"), after(1600))).isFalse();
    }

    private long after(long millis) {
        return startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
