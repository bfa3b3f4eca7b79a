package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gooseberryhill.decision.requestbatch.RunVersionCheck.Finding;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class RunVersionCheckTest {
    private static final long FIRST_EVENT = 1_000_000_000;
    private static final long LATER = FIRST_EVENT + RunVersionCheck.MARGIN_NANOS;

    private final RunVersionCheck check = new RunVersionCheck(entry("e0", 1, "v1"));

    @Test
    void theVersionIsKnownOnceTheDirectoryIsLaterThanTheFirstEvent() {
        check.outputSeen(FIRST_EVENT);
        check.outputSeen(LATER);

        assertThat(check.finding(LATER - 1, LATER)).isEqualTo(Finding.UNKNOWN);
        assertThat(check.finding(LATER, LATER)).isEqualTo(Finding.SAME_VERSION);
    }

    @Test
    void aRunWithoutOutputHasNoKnownVersion() {
        assertThat(check.finding(LATER, LATER)).isEqualTo(Finding.UNKNOWN);
    }

    /** Guards against output of an endpoint that came back under its id, whether or not its registration names its start. */
    @Test
    void aLaterRegistrationWithAnotherVersionShowsThatTheEndpointWasReplaced() {
        check.outputSeen(FIRST_EVENT);

        check.endpointsChanged(List.of(entry("e1", 1, "v1"), entry("e0", 2, "v2")));

        assertThat(check.finding(LATER, LATER)).isEqualTo(Finding.OTHER_VERSION);
    }

    /** Guards against output of a version that came and went between two changes that the host learned of. */
    @Test
    void aVersionThatHasPassedMeanwhileIsNotForgotten() {
        check.endpointsChanged(List.of(entry("e0", 2, "v2")));
        check.endpointsChanged(List.of(entry("e0", 3, "v1")));
        check.outputSeen(FIRST_EVENT);

        assertThat(check.finding(LATER, LATER)).isEqualTo(Finding.OTHER_VERSION);
    }

    /** Guards against output that is lost whenever an endpoint leaves or starts anew with the same software. */
    @Test
    void anEndpointThatLeavesOrStartsAnewWithItsVersionKeepsItsOutput() {
        check.outputSeen(FIRST_EVENT);

        check.endpointsChanged(List.of(entry("e1", 1, "v2")));
        check.endpointsChanged(List.of(entry("e0", 2, "v1")));

        assertThat(check.finding(LATER, LATER)).isEqualTo(Finding.SAME_VERSION);
    }

    @Test
    void aChangeAfterTheVersionIsKnownConcernsLaterRunsOnly() {
        check.outputSeen(FIRST_EVENT);
        assertThat(check.finding(LATER, LATER)).isEqualTo(Finding.SAME_VERSION);

        check.endpointsChanged(List.of(entry("e0", 2, "v2")));

        assertThat(check.finding(LATER, LATER)).isEqualTo(Finding.SAME_VERSION);
    }

    /** Guards against results that come too late because the directory can't be read. */
    @Test
    void theRegisteredVersionIsBelievedAfterAWhileWithoutALaterDirectory() {
        check.outputSeen(FIRST_EVENT);
        long nowNanos = FIRST_EVENT;
        while (nowNanos < FIRST_EVENT + RunVersionCheck.MAX_WAIT_NANOS) {
            assertThat(check.finding(FIRST_EVENT, nowNanos)).isEqualTo(Finding.UNKNOWN);
            nowNanos += RunVersionCheck.MAX_COUNTED_WAIT_NANOS / 2;
        }

        assertThat(check.finding(FIRST_EVENT, nowNanos)).isEqualTo(Finding.SAME_VERSION);
    }

    /** Guards against a host that stood still and believes what it knew before. */
    @Test
    void timeInWhichTheHostStoodStillIsNotWaitedFor() {
        check.outputSeen(FIRST_EVENT);

        Finding afterwards = check.finding(FIRST_EVENT, FIRST_EVENT + 2 * RunVersionCheck.MAX_WAIT_NANOS);

        assertThat(afterwards).isEqualTo(Finding.UNKNOWN);
    }

    private static EndpointEntry entry(String id, long startedAtMillis, String version) {
        return new EndpointEntry(
                id,
                startedAtMillis,
                "s",
                version,
                new Address("10.0.0.1", 8000),
                new AvailabilityZone("a"),
                4,
                false,
                0);
    }
}
