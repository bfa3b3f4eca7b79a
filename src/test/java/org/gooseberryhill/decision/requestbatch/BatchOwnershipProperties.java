package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class BatchOwnershipProperties {
    /**
     * Two hosts take a batch over from each other, lose it and load it again while answers of the store are lost and writes
     * arrive late. A result that a host has returned at some position of the batch's list of results stays at that position,
     * no item is listed at two positions, and without faults every item is listed in the end.
     */
    @Property(tries = 5000)
    void positionsAreAssignedOnceHoweverOftenTheOwnerChanges(
            @ForAll Random random, @ForAll @IntRange(min = 0, max = 60) int faultPercent) {
        BatchOwnershipModel model = new BatchOwnershipModel(random, faultPercent);
        for (int i = 0; i < 120; i++) {
            model.step();
        }
        model.finish();

        assertThat(new HashSet<>(model.shownIdsByPosition().values()))
                .hasSameSizeAs(model.shownIdsByPosition().values());
        if (faultPercent == 0) {
            assertThat(model.record().listed()).isEqualTo(6);
        }
    }
}
