package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class ItemOutputProperties {
    private static final int EVENTS = 6;
    private static final int MAX_ATTEMPTS = 3;
    private static final String WHOLE_OUTPUT =
            IntStream.rangeClosed(1, EVENTS).mapToObj(id -> "w" + id).collect(Collectors.joining("\n"));

    /**
     * Guards against a result without its last events, however the runs of its item are interrupted. Each run that is
     * truncated has delivered an event: what is lost twice before any event can't be told from an end.
     */
    @Property
    void anItemIsDoneWithItsWholeOutputOnly(@ForAll("runs") List<Run> runs) {
        OwnedBatch batch = BatchFixture.batch(1);
        ItemProgress item = batch.startableItems(0).get(0);

        for (Run run : runs) {
            if (item.isDone()) {
                break;
            }
            int left = EVENTS - item.lastEventId().orElse(0L).intValue();
            boolean truncated = run.events < left;
            batch.runStarted(item, BatchFixture.VERSION);
            BatchFixture.events(item, Math.min(left, run.events));
            batch.runEnded(item, run.end(truncated), MAX_ATTEMPTS, 0);
        }

        item.result().ifPresent(result -> assertThat(result.text()).isEqualTo(WHOLE_OUTPUT));
    }

    /** Guards against an item that is never done at endpoints which mark the end of their answers by nothing. */
    @Property
    void anItemIsDoneAfterAtMostOneRunMoreThanItsTruncations(@ForAll("runs") List<Run> truncations) {
        OwnedBatch batch = BatchFixture.batch(1);
        ItemProgress item = batch.startableItems(0).get(0);
        truncations.forEach(run -> {
            int left = EVENTS - item.lastEventId().orElse(0L).intValue();
            batch.runStarted(item, BatchFixture.VERSION);
            BatchFixture.events(item, Math.min(Math.max(0, left - 1), run.events));
            batch.runEnded(item, RunEnd.CUT, MAX_ATTEMPTS, 0);
        });

        for (int run = 0; run < 2; run++) {
            batch.runStarted(item, BatchFixture.VERSION);
            BatchFixture.events(item, EVENTS - item.lastEventId().orElse(0L).intValue());
            batch.runEnded(item, RunEnd.UNCONFIRMED, MAX_ATTEMPTS, 0);
        }

        assertThat(item.isDone()).isTrue();
    }

    @Provide
    Arbitrary<List<Run>> runs() {
        Arbitrary<Integer> events = Arbitraries.integers().between(1, EVENTS);
        Arbitrary<RunEnd> ends = Arbitraries.of(RunEnd.UNCONFIRMED, RunEnd.CUT, RunEnd.YIELDED);
        return Combinators.combine(events, ends, Arbitraries.of(true, false))
                .as(Run::new)
                .list()
                .ofMaxSize(12);
    }

    /**
     * A run of an item.
     *
     * @param events the number of events that it delivers at most
     * @param interruption how it ends before the end of the output
     * @param marksEnd whether the endpoint marks the end of the output
     */
    record Run(int events, RunEnd interruption, boolean marksEnd) {
        RunEnd end(boolean truncated) {
            if (truncated) {
                return interruption;
            }
            return marksEnd ? RunEnd.COMPLETED : RunEnd.UNCONFIRMED;
        }
    }
}
