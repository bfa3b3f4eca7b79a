package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;

class BatchCopiesProperties {
    /**
     * Guards against a position that shows another result, in whatever way hosts come by a copy of a batch and whichever of them
     * is asked: submissions sent again to restarted hosts, copies on disks, takeovers from owners that are only slow, hand-overs,
     * records that are listed late, and results from memory, other hosts, caches and the store.
     */
    @Property(tries = 5000)
    void aPositionShowsTheSameResultAtEachHostAndAtEachTime(
            @ForAll Random random, @ForAll @IntRange(min = 0, max = 60) int faultPercent) {
        BatchCopiesModel model = new BatchCopiesModel(random, faultPercent);
        for (int i = 0; i < 400; i++) {
            model.step();
        }
        model.finish();

        assertThat(model.shown().values().stream().map(ItemResult::id)).doesNotHaveDuplicates();
        if (faultPercent == 0) {
            assertThat(model.isFinished()).isTrue();
        }
        Statistics.label("pages with results").collect(Math.min(4, model.pagesShown() / 5) * 5);
    }
}
