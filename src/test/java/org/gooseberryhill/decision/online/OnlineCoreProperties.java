package org.gooseberryhill.decision.online;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.decision.online.OnlineCoreFixture.SECOND;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.retry.AttemptFailure;

/**
 * Runs random sequences of arrivals, successes, failures, crashes, leaving endpoints and passing time against the core,
 * and checks its decisions against a small model of what was sent and what may have reached an endpoint.
 */
class OnlineCoreProperties {
    private static final int STEPS = 300;

    @Property(seed = "20261203")
    void theReportedOutcomeMatchesWhatWasSent(@ForAll long seed) {
        new Run(seed).execute();
    }

    /** One random sequence, run against the core and the model. */
    private static final class Run {
        private final Random random;
        private final OnlineCore core;
        private final List<OnlineRequest> inFlight = new ArrayList<>();
        private final Map<String, Integer> possibleRuns = new HashMap<>();
        private final Set<String> idempotentIds = new HashSet<>();
        private final Set<String> finishedIds = new HashSet<>();
        private Set<String> leaving = Set.of();
        private long nowNanos;

        Run(long seed) {
            random = new Random(seed);
            core = OnlineCoreFixture.core(4);
        }

        void execute() {
            for (int step = 0; step < STEPS; step++) {
                nowNanos += random.nextInt((int) (SECOND / 10));
                switch (random.nextInt(6)) {
                    case 0, 1 -> arrive(step);
                    case 2 -> succeed();
                    case 3 -> fail(Outcome.NOT_RUN, false);
                    case 4 -> fail(Outcome.MAY_HAVE_RUN, random.nextBoolean());
                    default -> changeLeavingEndpoints();
                }
            }
            while (!inFlight.isEmpty()) {
                succeed();
            }
            core.endpoints()
                    .all()
                    .forEach(endpoint -> assertThat(endpoint.ownInFlight())
                            .as("in flight at %s after the last answer", endpoint.name())
                            .isZero());
        }

        private void arrive(int number) {
            boolean isIdempotent = random.nextBoolean();
            OnlineRequestInfo requestInfo = OnlineCoreFixture.requestInfo(number, isIdempotent, nowNanos + 20 * SECOND);
            Either<Refusal, OnlineRequest> admitted = core.admit(requestInfo, nowNanos);
            if (admitted.isLeft()) {
                assertThat(admitted.getLeft().outcome()).isEqualTo(Outcome.NOT_RUN);
                return;
            }
            if (isIdempotent) {
                idempotentIds.add(requestInfo.id());
            }
            follow(admitted.get(), core.next(admitted.get(), nowNanos));
        }

        private void follow(OnlineRequest request, OnlineDecision decision) {
            String id = request.info().id();
            if (decision instanceof OnlineDecision.AskPermit askPermit) {
                Optional<String> granted =
                        random.nextBoolean() ? Optional.of(askPermit.endpoints().get(0)) : Optional.empty();
                follow(request, core.onPermitAnswer(request, granted, nowNanos));
            } else if (decision instanceof OnlineDecision.Wait wait) {
                nowNanos += wait.delayMillis() * 1_000_000;
                follow(request, core.next(request, nowNanos));
            } else if (decision instanceof OnlineDecision.Send send) {
                assertThat(leaving)
                        .as("leaving endpoints")
                        .doesNotContain(send.endpoint().name());
                boolean repeated = possibleRuns.getOrDefault(id, 0) > 0;
                assertThat(repeated && !idempotentIds.contains(id))
                        .as("%s sent again after it may have run", id)
                        .isFalse();
                inFlight.add(request);
            } else if (decision instanceof OnlineDecision.Refuse refuse) {
                boolean mayHaveRun = possibleRuns.getOrDefault(id, 0) > 0;
                assertThat(refuse.refusal().outcome() == Outcome.MAY_HAVE_RUN)
                        .as("%s may have run", id)
                        .isEqualTo(mayHaveRun);
                finish(request);
            }
        }

        private void succeed() {
            if (!inFlight.isEmpty()) {
                OnlineRequest request = inFlight.remove(random.nextInt(inFlight.size()));
                core.attemptSucceeded(request, nowNanos);
                finish(request);
            }
        }

        private void fail(Outcome outcome, boolean crash) {
            if (inFlight.isEmpty()) {
                return;
            }
            OnlineRequest request = inFlight.remove(random.nextInt(inFlight.size()));
            if (outcome == Outcome.MAY_HAVE_RUN) {
                possibleRuns.merge(request.info().id(), 1, Integer::sum);
            }
            if (crash) {
                String endpoint = request.endpoint().orElseThrow();
                core.suspects().recordCrash(endpoint, List.of(request.info().fingerprint()), nowNanos);
            }
            follow(request, core.attemptFailed(request, new AttemptFailure(outcome, crash, ""), nowNanos));
        }

        private void changeLeavingEndpoints() {
            leaving = random.nextBoolean() ? Set.of("e" + random.nextInt(4)) : Set.of();
            core.endpoints().setLeaving(leaving);
        }

        private void finish(OnlineRequest request) {
            assertThat(finishedIds.add(request.info().id()))
                    .as("%s finished once", request.info().id())
                    .isTrue();
            core.finished(request);
        }
    }
}
