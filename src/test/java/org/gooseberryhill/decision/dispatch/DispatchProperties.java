package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;

class DispatchProperties {
    private static final List<AttemptEnd> FAILURES = List.of(
            AttemptEnd.UNREACHABLE,
            AttemptEnd.BUSY,
            AttemptEnd.OTHER_ENDPOINT,
            AttemptEnd.CUT,
            AttemptEnd.SILENT,
            AttemptEnd.MALFORMED,
            AttemptEnd.ERROR_ANSWER);

    /** Whatever fails, in whatever order: the promises about repeating and about not-run hold, and counts come back to 0. */
    @Property
    void noSequenceOfFailuresBreaksAPromise(
            @ForAll Random random,
            @ForAll RouteKind kind,
            @ForAll boolean resumable,
            @ForAll @IntRange(min = 1, max = 4) int max) {
        DispatchFixture fixture = new DispatchFixture(5);
        Route route = DispatchFixture.route(kind, resumable, max);
        RoutedRequest request = fixture.arrive(route);
        DispatchDecision decision = fixture.first(request);
        boolean mayHaveRun = false;
        int runs = 0;
        while (decision instanceof DispatchDecision.Send) {
            assertThat(mayHaveRun && !route.isRepeatable()).as("sent again").isFalse();
            AttemptEnd end = FAILURES.get(random.nextInt(FAILURES.size()));
            fixture.pass(random.nextInt(200));
            mayHaveRun |= end.mayHaveRun();
            runs += end.mayHaveRun() ? 1 : 0;
            decision = fixture.failed(request, end);
        }
        Outcome told = ((DispatchDecision.Refuse) decision).refusal().outcome();
        assertThat(told == Outcome.NOT_RUN).isEqualTo(!mayHaveRun);
        assertThat(runs).isLessThanOrEqualTo(max);
        assertThat(fixture.fleet.own()).isEmpty();
    }
}
