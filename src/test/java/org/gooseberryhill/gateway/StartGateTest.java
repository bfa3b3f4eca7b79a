package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StartGateTest {
    private final long startNanos = TimeUnit.SECONDS.toNanos(1);
    private final StartGate gate = new StartGate(startNanos);
    private final List<String> passed = new ArrayList<>();

    /** Requests arrive 0.1 s and 0.3 s after the start, the configuration after 0.4 s: both then continue in their order. */
    @Test
    void requestsOfTheFirstMomentsGoOnWhenTheHostKnowsEnough() {
        assertThat(gate.pass(() -> passed.add("one"), after(100))).isTrue();
        assertThat(gate.pass(() -> passed.add("two"), after(300))).isTrue();
        assertThat(passed).isEmpty();

        gate.open();

        assertThat(passed).containsExactly("one", "two");
        gate.pass(() -> passed.add("three"), after(500));
        assertThat(passed).hasSize(3);
    }

    /** The store is unavailable: a held request is released after 1.5 s, to be refused, and later ones are not held. */
    @Test
    void nobodyWaitsForAStoreThatIsOut() {
        gate.pass(() -> passed.add("one"), after(100));
        gate.tick(after(1400));
        assertThat(passed).isEmpty();

        gate.tick(after(1501));

        assertThat(passed).containsExactly("one");
        assertThat(gate.pass(() -> passed.add("two"), after(1600))).isFalse();
    }

    private long after(long millis) {
        return startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
