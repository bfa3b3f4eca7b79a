package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.timeline.Timeline;
import org.gooseberryhill.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

class ChangeApplierTest {
    /** Guards against configurations that are never followed because another change of the same answer of the store fails. */
    @Test
    void aChangeWhoseApplicationThrowsKeepsNoOtherFromBeingApplied() {
        List<TimelineEvent> events = new ArrayList<>();
        ChangeApplier applier = new ChangeApplier(new Timeline("host", new HybridClock(() -> 0), events::add));
        List<String> applied = new ArrayList<>();

        applier.applyEach(List.of(written("a"), written("odd"), written("b")), change -> {
            if (change.key().equals("odd")) {
                throw new IllegalStateException("can't be applied");
            }
            applied.add(change.key());
        });

        assertThat(applied).containsExactly("a", "b");
        assertThat(applier.failureCount()).isEqualTo(1);
        assertThat(events).hasSize(1);
    }

    private static KeyChange written(String key) {
        return KeyChange.written(key, new byte[] {1}, 1);
    }
}
