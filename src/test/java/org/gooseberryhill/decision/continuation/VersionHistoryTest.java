package org.gooseberryhill.decision.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTarget;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class VersionHistoryTest {
    private static final long WHOLE_TIME_NANOS = VersionHistory.DEFAULT_STREAM_AGE_NANOS;

    private static final long TOLERANT_TIME_NANOS = WHOLE_TIME_NANOS + TimeUnit.SECONDS.toNanos(3);
    private static final long START_MILLIS = 1_000_000;

    private final VersionHistory history = new VersionHistory();

    @Test
    void aServiceHasSeveralVersionsFromTheMomentThatASecondIsRegistered() {
        assertThat(history.update(List.of(entry("e0", "v1")), 0)).isEmpty();
        assertThat(history.isMixed("s", 1)).isFalse();

        assertThat(history.update(List.of(entry("e0", "v1"), entry("e1", "v2")), 2))
                .containsOnly("s");
        assertThat(history.update(List.of(entry("e0", "v1"), entry("e1", "v2")), 3))
                .isEmpty();
        assertThat(history.isMixed("s", 3)).isTrue();
    }

    /** Guards against a stream of a version that has just gone, which would go on at the one that is left. */
    @Test
    void aVersionThatHasGoneCountsForAsLongAsItsStreamsMayBeTakenUp() {
        history.update(List.of(entry("e0", "v1"), entry("e1", "v2")), 0);
        history.update(List.of(entry("e1", "v2")), 100);

        assertThat(history.registeredOf("s", 0, 100 + WHOLE_TIME_NANOS).versions())
                .containsOnly("v1", "v2");
        assertThat(history.registeredOf("s", 0, 101 + WHOLE_TIME_NANOS).versions())
                .containsOnly("v2");
        assertThat(history.isMixed("s", 101 + WHOLE_TIME_NANOS)).isFalse();
    }

    /** Guards against a host that has just started and takes the versions that it finds for all that there were. */
    @Test
    void theHistoryIsCompleteOnlyAfterTheWholeTime() {
        assertThat(history.registeredOf("s", 0, 0)).isEqualTo(RegisteredVersions.NONE);

        history.update(List.of(entry("e0", "v1")), 0);

        assertThat(history.registeredOf("s", 0, WHOLE_TIME_NANOS - 1))
                .isEqualTo(new RegisteredVersions(Set.of("v1"), false));
        assertThat(history.registeredOf("s", 0, WHOLE_TIME_NANOS))
                .isEqualTo(new RegisteredVersions(Set.of("v1"), true));
    }

    /** Guards against a host that is cut off or stands still, and takes the versions of its old directory for all that there are. */
    @Test
    void theHistoryIsCompleteOnlyWithACurrentDirectory() {
        history.update(List.of(entry("e0", "v1")), 0);

        assertThat(history.registeredOf("s", VersionHistory.MAX_AGE_NANOS, WHOLE_TIME_NANOS)
                        .complete())
                .isTrue();
        assertThat(history.registeredOf("s", VersionHistory.MAX_AGE_NANOS + 1, WHOLE_TIME_NANOS)
                        .complete())
                .isFalse();
    }

    /** Guards against a version that came and went between two listings of a host that was out of step. */
    @Test
    void missedChangesBeginTheHistoryAnew() {
        history.update(List.of(entry("e0", "v1")), 0);
        history.changesMissed(WHOLE_TIME_NANOS);

        assertThat(history.joinsOtherReports(WHOLE_TIME_NANOS + VersionHistory.MAX_AGE_NANOS - 1))
                .isFalse();
        assertThat(history.joinsOtherReports(WHOLE_TIME_NANOS + VersionHistory.MAX_AGE_NANOS))
                .isTrue();
        assertThat(history.isComplete(0, 2 * WHOLE_TIME_NANOS - 1)).isFalse();
        assertThat(history.isComplete(0, 2 * WHOLE_TIME_NANOS)).isTrue();
    }

    /** Guards against a version that came and went between two readings, whose streams would go on at the other one. */
    @Test
    void aVersionThatCameAndWentAtOnceCounts() {
        history.update(List.of(entry("e0", "v1")), 0);

        assertThat(history.update(List.of(entry("e0", "v1")), List.of(entry("e1", "v2")), 1))
                .containsOnly("s");
        assertThat(history.registeredOf("s", 0, 2).versions()).containsOnly("v1", "v2");
    }

    /** Guards against streams that are refused since all hosts have started anew, although there was one version all along. */
    @Test
    void aHostThatStartsKnowsTheVersionsThatOthersWroteDown() {
        history.update(List.of(entry("e0", "v1")), 0);
        VersionRecord record =
                history.toRecord(START_MILLIS, TOLERANT_TIME_NANOS).orElseThrow();

        VersionHistory started = started(record, START_MILLIS);

        assertThat(started.registeredOf("s", 0, 0)).isEqualTo(new RegisteredVersions(Set.of("v1"), true));
    }

    /** Guards against a stream of a version that went shortly before all hosts were lost. */
    @Test
    void aVersionThatWasWrittenDownAsGoneCountsForTheRestOfItsTime() {
        history.update(List.of(entry("e0", "v1"), entry("e1", "v2")), 0);
        history.update(List.of(entry("e0", "v1")), TOLERANT_TIME_NANOS);
        VersionRecord record =
                history.toRecord(START_MILLIS, TOLERANT_TIME_NANOS).orElseThrow();

        VersionHistory started = started(record, START_MILLIS + 1000);

        assertThat(started.isMixed("s", WHOLE_TIME_NANOS)).isTrue();
        assertThat(started.isMixed("s", WHOLE_TIME_NANOS + 1)).isFalse();
    }

    /** Guards against a version that went while no host ran: it is in the record and not in the directory. */
    @Test
    void aVersionThatWentWhileNoHostRanCountsFromTheStartOn() {
        history.update(List.of(entry("e0", "v1"), entry("e1", "v2")), 0);
        VersionRecord record =
                history.toRecord(START_MILLIS, TOLERANT_TIME_NANOS).orElseThrow();

        assertThat(started(record, START_MILLIS)
                        .registeredOf("s", 0, WHOLE_TIME_NANOS)
                        .versions())
                .containsOnly("v1", "v2");
    }

    @Test
    void theRecordIsOutdatedWhenAVersionComesOrGoes() {
        history.update(List.of(entry("e0", "v1")), 0);
        VersionRecord record = history.toRecord(START_MILLIS, 0).orElseThrow();

        history.update(List.of(entry("e0", "v1"), entry("e1", "v1")), 1);
        assertThat(history.differsFrom(record)).isFalse();
        history.update(List.of(entry("e0", "v1"), entry("e1", "v2")), 2);
        assertThat(history.differsFrom(record)).isTrue();
    }

    /** A host that reads the record at its start, and then the directory with the first version only. */
    private static VersionHistory started(VersionRecord record, long nowMillis) {
        VersionHistory started = new VersionHistory();
        started.restore(record, nowMillis, 0);
        started.update(List.of(entry("e0", "v1")), 0);
        return started;
    }

    /** Guards against refusals long after the last caller that may take up a stream has given up. */
    @Test
    void theTimeFollowsFromTheLongestTimeoutOfAStream() {
        history.configure(
                List.of(route(RouteKind.STREAM, 3000), route(RouteKind.STREAM, 5000), route(RouteKind.BATCH, 90_000)));
        assertThat(history.maxStreamAgeNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(10_000));

        history.configure(List.of(route(RouteKind.STREAM, 3000), route(RouteKind.STREAM, 0)));
        assertThat(history.maxStreamAgeNanos()).isEqualTo(VersionHistory.DEFAULT_STREAM_AGE_NANOS);
    }

    private static Route route(RouteKind kind, long timeoutMillis) {
        return new Route(
                "r",
                "h",
                "/p/",
                kind,
                List.of(new RouteTarget("s", 1)),
                timeoutMillis,
                300,
                2,
                0,
                true,
                true,
                200,
                0,
                0,
                false);
    }

    /** Guards against an endpoint that comes back under its id: what it began before was at its earlier version. */
    @Test
    void anEndpointThatReturnsWithAnotherVersionMakesTwoVersions() {
        history.update(List.of(entry("e0", "v1")), 0);

        assertThat(history.update(List.of(entry("e0", "v2")), 1)).containsOnly("s");
    }

    private static EndpointEntry entry(String id, String version) {
        return new EndpointEntry(
                id, 0, "s", version, new Address("10.0.0.1", 8000), new AvailabilityZone("a"), 8, false, 0);
    }
}
