package org.gooseberryhill.decision.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against periodic work that runs too rarely, or in a burst after a pause of its thread. */
class TickScheduleTest {
    private static final long TICK_MILLIS = 100;

    @Test
    void workWhosePeriodIsNoMultipleOfTheTickRunsAtItsMeanRate() {
        List<Long> runs = runsOfRegularTicks(new TickSchedule(250, TICK_MILLIS, 0), 10_000);

        assertThat(runs).hasSize(40);
        assertThat(gaps(runs)).allMatch(gap -> gap == 200 || gap == 300);
    }

    @Test
    void workWithThePeriodOfSeveralTicksRunsAtEachOfThese() {
        List<Long> runs = runsOfRegularTicks(new TickSchedule(500, TICK_MILLIS, 0), 3000);

        assertThat(runs).containsExactly(500L, 1000L, 1500L, 2000L, 2500L, 3000L);
    }

    @Test
    void ticksThatComeLateDoNotMakeWorkRarerThanItsPeriod() {
        TickSchedule schedule = new TickSchedule(1000, TICK_MILLIS, 0);
        int runs = 0;
        for (long millis = 107; millis <= 60_000; millis += 107) {
            runs += isDueAt(schedule, millis) ? 1 : 0;
        }

        assertThat(runs).isBetween(59, 60);
    }

    @Test
    void workDoesNotRunTwiceInShortOrderAfterAPauseOfItsThread() {
        TickSchedule schedule = new TickSchedule(1000, TICK_MILLIS, 0);
        assertThat(isDueAt(schedule, 3950)).isTrue();

        assertThat(isDueAt(schedule, 4050)).isFalse();
        assertThat(isDueAt(schedule, 4350)).isFalse();
        assertThat(isDueAt(schedule, 5000)).isTrue();
    }

    private static List<Long> runsOfRegularTicks(TickSchedule schedule, long lastMillis) {
        List<Long> runs = new ArrayList<>();
        for (long millis = TICK_MILLIS; millis <= lastMillis; millis += TICK_MILLIS) {
            if (isDueAt(schedule, millis)) {
                runs.add(millis);
            }
        }
        return runs;
    }

    private static List<Long> gaps(List<Long> runs) {
        List<Long> gaps = new ArrayList<>();
        for (int i = 1; i < runs.size(); i++) {
            gaps.add(runs.get(i) - runs.get(i - 1));
        }
        return gaps;
    }

    private static boolean isDueAt(TickSchedule schedule, long millis) {
        return schedule.isDue(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
