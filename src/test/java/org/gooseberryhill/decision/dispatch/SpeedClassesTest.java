package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhill.directory.EndpointKey;
import org.junit.jupiter.api.Test;

class SpeedClassesTest {
    private static final EndpointKey ENDPOINT = new EndpointKey("e", 1);

    private final SpeedClasses classes = new SpeedClasses();

    @Test
    void anEndpointThatStaysSlowIsReportedOnce() {
        List<SpeedChange> changes = updates(10, 1.6);

        assertThat(changes).containsExactly(new SpeedChange(ENDPOINT, SpeedClass.USUAL, SpeedClass.SLOW, 1.6));
        assertThat(classes.count(SpeedClass.SLOW)).isEqualTo(1);
    }

    /** Guards against two lines for each slow period of half a second. */
    @Test
    void aShortSlowPeriodIsNotReported() {
        List<SpeedChange> changes = new ArrayList<>(updates(3, 1));
        changes.addAll(updates(2, 1.8));
        changes.addAll(updates(3, 1));

        assertThat(changes).isEmpty();
    }

    /** Guards against a line each few seconds about an endpoint at the limit between two classes. */
    @Test
    void anEndpointNearTheLimitKeepsItsClass() {
        updates(3, 1.3);
        List<SpeedChange> changes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            changes.addAll(updates(4, 1.2));
            changes.addAll(updates(4, 1.3));
        }

        assertThat(changes).isEmpty();
    }

    @Test
    void anEndpointThatBecomesFastIsReported() {
        updates(3, 1.6);

        assertThat(updates(3, 0.6)).containsExactly(new SpeedChange(ENDPOINT, SpeedClass.SLOW, SpeedClass.FAST, 0.6));
    }

    /** Guards against a burst of lines when a new coordinator learns the speeds of all its endpoints. */
    @Test
    void changesOfManyEndpointsAreSpreadOverUpdates() {
        Map<EndpointKey, Double> many = new HashMap<>();
        for (int i = 0; i < 16; i++) {
            many.put(new EndpointKey("e" + i, 1), i % 2 == 0 ? 1.6 : 0.6);
        }
        int all = 0;
        for (int i = 0; i < 20; i++) {
            List<SpeedChange> changes = classes.update(many);
            assertThat(changes).hasSizeLessThanOrEqualTo(2);
            all += changes.size();
        }

        assertThat(all).isEqualTo(16);
    }

    private List<SpeedChange> updates(int count, double relative) {
        List<SpeedChange> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            changes.addAll(classes.update(Map.of(ENDPOINT, relative)));
        }
        return changes;
    }
}
