package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gooseberryhill.contract.Outcome;

/**
 * Checks the answer to the caller of a submission for random orders in which the key-value store and the hosts that
 * hold copies answer.
 */
class BatchAcceptanceProperties {
    enum Step {
        RECORDED,
        COPIES_ASKED,
        COPY_KEPT,
        GIVEN_UP
    }

    @Property
    void callerGetsOneAnswerAndAConfirmationOnlyForADurableBatch(
            @ForAll @Size(max = 12) List<Step> steps,
            @ForAll @IntRange(min = 1, max = 3) int copiesNeeded,
            @ForAll @IntRange(max = 4) int hosts) {
        BatchAcceptance acceptance = new BatchAcceptance(copiesNeeded);
        int answers = 0;
        int storedCopies = 0;
        boolean recorded = false;
        boolean copiesRequested = false;
        for (Step step : steps) {
            boolean confirmed = false;
            if (step == Step.RECORDED) {
                recorded = true;
                confirmed = acceptance.recorded();
            } else if (step == Step.COPIES_ASKED) {
                copiesRequested |= acceptance.requestCopies(hosts);
            } else if (step == Step.COPY_KEPT && copiesRequested) {
                storedCopies++;
                confirmed = acceptance.copyStored();
            } else if (step == Step.GIVEN_UP && !acceptance.isAnswered()) {
                Outcome outcome = acceptance.giveUp(recorded);
                answers++;
                if (copiesRequested) {
                    assertThat(outcome).isEqualTo(Outcome.MAY_HAVE_RUN);
                }
            }
            if (confirmed) {
                answers++;
                assertThat(recorded || storedCopies >= copiesNeeded).isTrue();
            }
            assertThat(answers).isEqualTo(acceptance.isAnswered() ? 1 : 0);
        }
    }

    /** With too few hosts to survive the tolerated losses, no copy is made, so the batch is known not to have run. */
    @Example
    void withTooFewHostsNoCopyIsRequestedAndNothingHasRun() {
        BatchAcceptance acceptance = new BatchAcceptance(2);

        assertThat(acceptance.requestCopies(1)).isFalse();
        assertThat(acceptance.giveUp(false)).isEqualTo(Outcome.NOT_RUN);
    }

    /**
     * A host that holds a copy may create the record later, so the caller must not be told that the batch never runs.
     */
    @Example
    void batchMayHaveRunOnceCopiesAreRequested() {
        BatchAcceptance acceptance = new BatchAcceptance(2);
        acceptance.requestCopies(3);
        acceptance.copyStored();

        assertThat(acceptance.giveUp(false)).isEqualTo(Outcome.MAY_HAVE_RUN);
    }
}
