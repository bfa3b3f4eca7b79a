package org.gooseberryhill.decision.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FeasibleFirstOrderTest {
    private static final ItemTiming LATE = new ItemTiming(1000, 5000, 5000, false);
    private static final ItemTiming TIGHT = new ItemTiming(6000, 5000, 5000, false);
    private static final ItemTiming TIGHT_BEGUN = new ItemTiming(3000, 2000, 5000, true);
    private static final ItemTiming EASY = new ItemTiming(17_000, 5000, 5000, false);

    @Test
    void whileTheSlotsSufficeTheLeastSlackGoesFirstAndLateItemsLast() {
        assertThat(sorted(0.9)).containsExactly(TIGHT, TIGHT_BEGUN, EASY, LATE);
    }

    @Test
    void underPressureItemsThatAnyInterruptionMakesLateGiveWayUnlessTheyHaveBegun() {
        assertThat(sorted(2)).containsExactly(TIGHT_BEGUN, EASY, TIGHT, LATE);
    }

    /** Guards against a pressure that counts items which are late whatever happens. */
    @Test
    void thePressureIsTheLargestRatioOfTheWorkDueToTheSlotsUntilThen() {
        BatchPressure pressure = new BatchPressure();
        pressure.sampleFreeSlots(2);

        assertThat(pressure.of(List.of())).isZero();
        assertThat(pressure.of(List.of(LATE, LATE, LATE))).isZero();
        assertThat(pressure.of(List.of(EASY, EASY))).isEqualTo(10_000.0 / (2 * 17_000));
        assertThat(pressure.of(List.of(EASY, TIGHT, TIGHT, TIGHT))).isEqualTo(15_000.0 / (2 * 6000));
    }

    private static List<ItemTiming> sorted(double pressure) {
        List<ItemTiming> items = new ArrayList<>(List.of(LATE, EASY, TIGHT, TIGHT_BEGUN));
        items.sort(new FeasibleFirstOrder().comparator(pressure));
        return items;
    }
}
