package org.gooseberryhill.decision.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.decision.FakeKeyValue;
import org.gooseberryhill.decision.FakeKeyValue.Condition;

/**
 * Guards against a call being sent twice when a caller resends it through several hosts while writes to the key-value
 * store are lost, arrive late or take effect without an answer.
 */
class ClaimProperties {
    private static final String KEY = "call";

    @Property(seed = "20261203")
    void aCallIsSentAtMostOnceAcrossAllHosts(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyValue<ClaimRecord> store = new FakeKeyValue<>(random, 40);
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            calls.add(new Call("claim-" + i));
        }
        for (int step = 0; step < 200; step++) {
            Call call = calls.get(random.nextInt(calls.size()));
            call.advance(store);
            if (random.nextInt(4) == 0) {
                store.applyDelayedWrite();
            }
        }

        assertThat(calls.stream().filter(call -> call.sent).count()).isLessThanOrEqualTo(1);
        calls.stream()
                .filter(call -> call.step instanceof ClaimStep.Refuse)
                .map(call -> ((ClaimStep.Refuse) call.step).refusal())
                .filter(refusal -> refusal.code() == ErrorCode.PLATFORM_UNAVAILABLE)
                .forEach(refusal -> assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN));
    }

    @Property(seed = "20261203", tries = 50)
    void withoutFaultsOneCallIsSentAndTheOthersAreRefused(@ForAll long seed) {
        Random random = new Random(seed);
        FakeKeyValue<ClaimRecord> store = new FakeKeyValue<>(random, 0);
        List<Call> calls = List.of(new Call("a"), new Call("b"), new Call("c"));
        for (int step = 0; step < 60; step++) {
            calls.get(random.nextInt(3)).advance(store);
        }

        assertThat(calls.stream().filter(call -> call.sent).count()).isEqualTo(1);
        assertThat(calls.stream()
                        .filter(call -> call.step instanceof ClaimStep.Refuse)
                        .count())
                .isEqualTo(2);
    }

    /** A call as handled by one host. */
    private static final class Call {
        private final ClaimRecord own;
        private final Claim claim;
        private ClaimStep step;
        private boolean sent;

        Call(String claimId) {
            own = ClaimRecord.claimed(claimId, "hash", 0);
            claim = new Claim(own);
            step = claim.firstStep();
        }

        void advance(FakeKeyValue<ClaimRecord> store) {
            if (step instanceof ClaimStep.Create) {
                Optional<Boolean> answer = store.write(List.of(Condition.absent(KEY)), Map.of(KEY, own));
                step = answer.map(claim::onCreateResult).orElseGet(claim::onNoAnswer);
            } else if (step instanceof ClaimStep.Read) {
                step = store.read(KEY)
                        .map(found -> claim.onReadResult(found.map(FakeKeyValue.Stored::value), 0))
                        .orElseGet(claim::onNoAnswer);
            } else if (step instanceof ClaimStep.Send) {
                sent = true;
            }
        }
    }
}
