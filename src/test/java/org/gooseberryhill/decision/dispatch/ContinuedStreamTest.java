package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests where a stream that has begun continues while endpoints of two software versions serve: e0 and e1, e2 and e3. */
class ContinuedStreamTest {
    private static final Route RESUMABLE = DispatchFixture.route(RouteKind.STREAM, true, 5);
    private static final ServiceVersion V1 = new ServiceVersion(DispatchFixture.SERVICE, "v1");
    private static final ServiceVersion V2 = new ServiceVersion(DispatchFixture.SERVICE, "v2");

    /** A caller that gets nothing for two seconds gives up. */
    private static final long MAX_HELD_MILLIS = 1500;

    private static final PlacementFacts FACTS = new PlacementFacts(4, 0, 0, 8, 0);

    private final DispatchFixture fixture = new DispatchFixture(4);

    @Test
    void aStreamThatIsCutContinuesAtTheVersionThatBeganIt() {
        register(entries());
        for (int i = 0; i < 50; i++) {
            RoutedRequest request = fixture.arrive(RESUMABLE);
            EndpointEntry first = sentTo(fixture.dispatch(request));
            request.answerStarted();

            EndpointEntry second = sentTo(afterWaits(request, fixture.failed(request, AttemptEnd.CUT)));

            assertThat(second.softwareVersion()).isEqualTo(first.softwareVersion());
            fixture.core.attemptSucceeded(request, fixture.nowNanos);
        }
    }

    @Test
    void aStreamWithoutEventsMayStartAgainAtAnyVersion() {
        register(entries().subList(1, 3));
        RoutedRequest request = fixture.arrive(RESUMABLE);
        EndpointEntry first = sentTo(fixture.dispatch(request));

        EndpointEntry second = sentTo(fixture.failed(request, AttemptEnd.CUT));

        assertThat(second.softwareVersion()).isNotEqualTo(first.softwareVersion());
    }

    /** Guards against an answer that is ended although its silent endpoint is the only one that may continue it. */
    @Test
    void aSilentStreamIsLeftAloneWhenNoOtherEndpointOfItsVersionIsUsable() {
        register(entries().subList(1, 4));
        RoutedRequest request = arriveAt("v1");
        request.answerStarted();

        assertThat(fixture.core.canFailOver(request, fixture.nowNanos)).isFalse();
    }

    @Test
    void aStreamIsGivenUpAtOnceWhenNoOtherEndpointOfItsVersionIsUsable() {
        register(entries().subList(1, 4));
        RoutedRequest request = arriveAt("v1");
        request.answerStarted();

        assertThat(refusal(fixture.failed(request, AttemptEnd.CUT)).outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    }

    /** Guards against a stream that is cut although the only endpoint that may continue it is back shortly. */
    @Test
    void aStreamWaitsForAnEjectedEndpointOfItsVersion() {
        register(entries().subList(0, 3));
        eject("e2");
        RoutedRequest request = fixture.arrive(RESUMABLE, V2);

        DispatchDecision decision = fixture.dispatch(request);

        assertThat(decision).isInstanceOf(DispatchDecision.Wait.class);
        assertThat(sentTo(afterWaits(request, decision)).serviceVersion()).isEqualTo(V2);
    }

    /** Guards against a request that is held until its deadline for an endpoint that does not come back. */
    @Test
    void aStreamIsRefusedWhenItsOnlyEndpointStaysUnreachable() {
        register(entries().subList(0, 3));
        fixture.fleet.attemptEnded(DispatchFixture.key("e2"), AttemptEnd.UNREACHABLE, fixture.nowNanos);
        long startNanos = fixture.nowNanos;
        RoutedRequest request = fixture.arrive(RESUMABLE, V2);

        Refusal refusal = refusal(afterWaits(request, fixture.dispatch(request)));

        assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(TimeUnit.NANOSECONDS.toMillis(fixture.nowNanos - startNanos)).isLessThan(MAX_HELD_MILLIS);
    }

    @Test
    void aStreamThatIsTakenUpGoesOnAtItsVersion() {
        register(entries());
        for (int i = 0; i < 50; i++) {
            RoutedRequest request = fixture.arrive(RESUMABLE, V2);

            assertThat(sentTo(fixture.dispatch(request)).serviceVersion()).isEqualTo(V2);
            fixture.core.attemptSucceeded(request, fixture.nowNanos);
        }
    }

    @Test
    void aStreamThatIsTakenUpIsRefusedAsNotRunWhenItsVersionIsGone() {
        register(entries().subList(0, 2));

        Refusal refusal = refusal(fixture.dispatch(fixture.arrive(RESUMABLE, V2)));

        assertThat(refusal.code()).isEqualTo(ErrorCode.NO_ENDPOINT);
        assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against a slot of a leaving endpoint, and against a guess among the versions that stay. */
    @Test
    void aLeavingEndpointOfTheVersionIsNotUsed() {
        List<EndpointEntry> entries = entries();
        entries.set(0, DispatchFixture.entry("e0", 1, true, "v1"));
        register(entries.subList(0, 1));

        assertThat(fixture.dispatch(fixture.arrive(RESUMABLE, V1))).isInstanceOf(DispatchDecision.Refuse.class);
    }

    /** Guards against an endpoint that has come back under its id with other software. */
    @Test
    void anEndpointThatReturnsWithAnotherVersionIsNotUsed() {
        register(List.of(DispatchFixture.entry("e0", 1, false, "v1")));
        register(List.of(DispatchFixture.entry("e0", 1, false, "v2")));

        assertThat(fixture.dispatch(fixture.arrive(RESUMABLE, V1))).isInstanceOf(DispatchDecision.Refuse.class);
        assertThat(fixture.dispatch(fixture.arrive(RESUMABLE, V2))).isInstanceOf(DispatchDecision.Send.class);
    }

    /** Guards against a coordinator that chooses among all versions, such as one that knows an endpoint that this host doesn't. */
    @Test
    void aCoordinatorIsAskedForEndpointsOfTheVersionAndItsAnswerIsChecked() {
        DispatchFixture coordinated = new DispatchFixture(4, new VersionGroups());
        coordinated.fleet.updateDirectory(entries());
        RoutedRequest request = coordinated.arrive(RESUMABLE, V2);

        DispatchDecision.AskGroup ask = (DispatchDecision.AskGroup) coordinated.dispatch(request);
        DispatchDecision decision = coordinated.core.placementAnswered(
                request, new PlacementAnswer.Placed(DispatchFixture.key("e0"), FACTS), coordinated.nowNanos);

        assertThat(ask.group()).as("the group with an endpoint of the version").isEqualTo(VersionGroups.SECOND);
        assertThat(ask.query().excluded()).containsOnly(DispatchFixture.key("e1"));
        assertThat(sentTo(decision).serviceVersion()).isEqualTo(V2);
    }

    /** Guards against two versions in one answer, whatever fails and whatever endpoints come, leave and return meanwhile. */
    @Property
    void noSequenceOfFailuresLetsAStreamContinueAtAnotherVersion(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 4) int versions) {
        DispatchFixture changing = new DispatchFixture(5);
        RoutedRequest request = changing.arrive(DispatchFixture.route(RouteKind.STREAM, true, 10));
        DispatchDecision decision = changing.dispatch(request);
        Optional<ServiceVersion> began = Optional.empty();
        while (!(decision instanceof DispatchDecision.Refuse)) {
            changing.advanceMillis(random.nextInt(200));
            if (decision instanceof DispatchDecision.Wait) {
                decision = changing.core.dispatchAfterWait(request, changing.nowNanos);
                continue;
            }
            ServiceVersion at = sentTo(decision).serviceVersion();
            assertThat(began.orElse(at)).isEqualTo(at);
            if (random.nextBoolean()) {
                request.answerStarted();
                began = Optional.of(at);
            }
            changing.fleet.updateDirectory(randomEntries(random, versions));
            decision = changing.failed(request, random.nextBoolean() ? AttemptEnd.CUT : AttemptEnd.BUSY);
        }
    }

    private static List<EndpointEntry> randomEntries(Random random, int versions) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            if (random.nextInt(4) > 0) {
                entries.add(DispatchFixture.entry("e" + i, 1, false, "v" + (1 + random.nextInt(versions))));
            }
        }
        return entries;
    }

    private void eject(String id) {
        for (int i = 0; i < 3; i++) {
            fixture.fleet.attemptEnded(DispatchFixture.key(id), AttemptEnd.CUT, fixture.nowNanos);
        }
    }

    private DispatchDecision afterWaits(RoutedRequest request, DispatchDecision decision) {
        DispatchDecision next = decision;
        while (next instanceof DispatchDecision.Wait wait) {
            fixture.advanceMillis(wait.millis());
            next = fixture.core.dispatchAfterWait(request, fixture.nowNanos);
        }
        return next;
    }

    private RoutedRequest arriveAt(String version) {
        while (true) {
            RoutedRequest request = fixture.arrive(RESUMABLE);
            if (sentTo(fixture.dispatch(request)).softwareVersion().equals(version)) {
                return request;
            }
        }
    }

    private void register(List<EndpointEntry> entries) {
        fixture.fleet.updateDirectory(entries);
    }

    private static List<EndpointEntry> entries() {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            entries.add(DispatchFixture.entry("e" + i, 1, false, i < 2 ? "v1" : "v2"));
        }
        return entries;
    }

    private static EndpointEntry sentTo(DispatchDecision decision) {
        return ((DispatchDecision.Send) decision).endpoint();
    }

    private static Refusal refusal(DispatchDecision decision) {
        return ((DispatchDecision.Refuse) decision).refusal();
    }

    /** One group with an endpoint of the first version only, one with an endpoint of each version. */
    private static final class VersionGroups implements GroupSelector {
        private static final EndpointGroup FIRST = new EndpointGroup(DispatchFixture.SERVICE, 0);
        private static final EndpointGroup SECOND = new EndpointGroup(DispatchFixture.SERVICE, 1);

        @Override
        public Optional<EndpointGroup> next(String service, Set<EndpointGroup> asked, long nowNanos) {
            return List.of(FIRST, SECOND).stream()
                    .filter(group -> !asked.contains(group))
                    .findFirst();
        }

        @Override
        public List<EndpointEntry> members(EndpointGroup group) {
            List<EndpointEntry> all = entries();
            return group.equals(FIRST) ? all.subList(0, 1) : all.subList(1, 3);
        }
    }
}
