package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;

class DispatchProperties {
    private static final int MAX_ENDPOINTS = 5;
    private static final int MAX_PAUSE_MILLIS = 300;
    private static final List<AttemptEnd> FAILURES = List.of(
            AttemptEnd.UNREACHABLE,
            AttemptEnd.BUSY,
            AttemptEnd.OTHER_ENDPOINT,
            AttemptEnd.CUT,
            AttemptEnd.SILENT,
            AttemptEnd.MALFORMED,
            AttemptEnd.ERROR_ANSWER);

    /**
     * For any sequence of failures the rules on repetition hold, the reported outcome is right, and the in-flight
     * counts return to 0.
     */
    @Property
    void noSequenceOfFailuresBreaksTheRepetitionRulesOrTheReportedOutcome(
            @ForAll Random random,
            @ForAll RouteKind kind,
            @ForAll boolean resumable,
            @ForAll @IntRange(min = 1, max = 4) int max) {
        DispatchFixture fixture = new DispatchFixture(5);
        Route route = DispatchFixture.route(kind, resumable, max);
        RoutedRequest request = fixture.arrive(route);
        DispatchDecision decision = fixture.dispatch(request);
        boolean mayHaveRun = false;
        int runs = 0;
        while (!(decision instanceof DispatchDecision.Refuse)) {
            if (decision instanceof DispatchDecision.Wait wait) {
                fixture.advanceMillis(wait.millis());
                decision = fixture.core.dispatchAfterWait(request, fixture.nowNanos);
                continue;
            }
            assertThat(mayHaveRun && !route.isRepeatable()).as("sent again").isFalse();
            AttemptEnd end = FAILURES.get(random.nextInt(FAILURES.size()));
            fixture.advanceMillis(random.nextInt(200));
            mayHaveRun |= end.mayHaveRun();
            runs += end.mayHaveRun() ? 1 : 0;
            decision = fixture.failed(request, end);
        }
        Outcome reported = ((DispatchDecision.Refuse) decision).refusal().outcome();
        assertThat(reported == Outcome.NOT_RUN).isEqualTo(!mayHaveRun);
        assertThat(runs).isLessThanOrEqualTo(max);
        assertThat(fixture.fleet.ownInFlight()).isEmpty();
    }

    /**
     * Guards against an answer that is aborted because its endpoint is silent: after a silent attempt a request is sent
     * to another endpoint if and only if {@link DispatchCore#canFailOver} predicted it, regardless of what happened
     * before to this request, to its endpoints and to equal requests.
     */
    @Property
    void aSilentRequestIsSentElsewhereExactlyWhenThatWasPredicted(
            @ForAll Random random,
            @ForAll RouteKind kind,
            @ForAll boolean resumable,
            @ForAll @IntRange(min = 1, max = 5) int endpoints,
            @ForAll @IntRange(min = 1, max = 10) int max) {
        DispatchFixture fixture = new DispatchFixture(endpoints);
        RoutedRequest request = fixture.arrive(DispatchFixture.route(kind, resumable, max));
        DispatchDecision decision = fixture.dispatch(request);
        while (!(decision instanceof DispatchDecision.Refuse)) {
            simulateRandomEvent(fixture, request, random);
            boolean predicted = fixture.core.canFailOver(request, fixture.nowNanos);
            if (decision instanceof DispatchDecision.Wait wait) {
                assertThat(predicted).as("no endpoint has it").isFalse();
                fixture.advanceMillis(wait.millis());
                decision = fixture.core.dispatchAfterWait(request, fixture.nowNanos);
                continue;
            }
            AttemptEnd end = random.nextBoolean() ? AttemptEnd.SILENT : FAILURES.get(random.nextInt(FAILURES.size()));
            decision = fixture.failed(request, end);
            if (end == AttemptEnd.SILENT) {
                assertThat(decision instanceof DispatchDecision.Send)
                        .as("sent elsewhere")
                        .isEqualTo(predicted);
            }
        }
    }

    /** Simulates a random event while a request runs: the answer starts, or other endpoints crash, leave or refuse. */
    private static void simulateRandomEvent(DispatchFixture fixture, RoutedRequest request, Random random) {
        fixture.advanceMillis(random.nextInt(MAX_PAUSE_MILLIS));
        String other = "e" + random.nextInt(MAX_ENDPOINTS);
        switch (random.nextInt(8)) {
            case 0 -> request.answerStarted();
            case 1 -> fixture.suspects.recordCrash(other, List.of(request.info().fingerprint()), fixture.nowNanos);
            case 2 -> fixture.suspects.clear(request.info().fingerprint());
            case 3 ->
                fixture.fleet.attemptEnded(
                        DispatchFixture.key(other), FAILURES.get(random.nextInt(FAILURES.size())), fixture.nowNanos);
            case 4 ->
                fixture.fleet.updateDirectory(IntStream.range(0, MAX_ENDPOINTS)
                        .filter(number -> random.nextBoolean())
                        .mapToObj(number -> DispatchFixture.entry("e" + number, 1, random.nextInt(3) == 0))
                        .toList());
            default -> {
                // Only time passes.
            }
        }
    }
}
