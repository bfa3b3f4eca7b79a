package org.gooseberryhill.decision.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Checks a job that two hosts own in turn, while sometimes both consider themselves its owner: a lease expires while
 * its holder is paused, reports arrive late and twice, answers of the key-value store are lost and writes arrive late.
 */
class JobProperties {
    private static final int STEPS = 300;
    private static final int ITEMS = 10;

    @Property(seed = "20261203")
    void eachItemIsCompletedOnceWhateverHappensToItsOwners(@ForAll long seed) {
        JobModel model = new JobModel(new Random(seed), 20);
        for (int step = 0; step < STEPS; step++) {
            model.step(true);
        }

        assertThat(model.committedItems()).isLessThanOrEqualTo(ITEMS);
    }

    @Property(seed = "20261203")
    void afterTheFaultsEndTheJobCompletes(@ForAll long seed) {
        JobModel model = new JobModel(new Random(seed), 0);
        for (int step = 0; step < STEPS; step++) {
            model.step(step % 50 == 0);
        }
        for (int step = 0; step < 20 * STEPS; step++) {
            model.step(false);
            if (step % 500 == 0) {
                // The lease of a holder that has failed expires eventually.
                model.store.delete(JobModel.OWNER);
            }
        }

        assertThat(model.committedItems()).isEqualTo(ITEMS);
    }

    /** Once a cancellation is answered, commits that are still on their way must find the record changed. */
    @Property(seed = "20261203")
    void afterACancellationNoResultAppears(@ForAll long seed) {
        JobModel model = new JobModel(new Random(seed), 20);
        int cancelAt = new Random(seed).nextInt(STEPS);
        int committed = 0;
        for (int step = 0; step < STEPS; step++) {
            if (step == cancelAt) {
                model.cancel();
                committed = model.committedItems();
            }
            model.step(true);
            if (step >= cancelAt) {
                assertThat(model.committedItems()).isEqualTo(committed);
            }
        }
    }
}
