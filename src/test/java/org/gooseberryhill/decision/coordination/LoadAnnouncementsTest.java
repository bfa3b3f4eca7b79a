package org.gooseberryhill.decision.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.host.HostId;
import org.junit.jupiter.api.Test;

/** Guards against loads that other coordinators learn late, or take for outdated although their sender is alive. */
class LoadAnnouncementsTest {
    private static final long SAMPLE_MILLIS = 100;
    private static final List<HostId> OTHERS = List.of(new HostId("b"), new HostId("c"));

    private final LoadAnnouncements announcements = new LoadAnnouncements();

    @Test
    void aChangedLoadIsAnnouncedAtOnce() {
        assertThat(isDue(1, OTHERS, 1000)).isTrue();

        assertThat(isDue(2, OTHERS, 1100)).isTrue();
        assertThat(isDue(1, OTHERS, 1200)).isTrue();
    }

    @Test
    void anUnchangedLoadIsRepeatedLongBeforeItIsOutdated() {
        assertThat(countDue(false)).isEqualTo(20);
        assertThat(LoadAnnouncements.REPEAT_NANOS).isLessThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(300));
    }

    @Test
    void anUnchangedLoadIsRepeatedSoonerWhileItCarriesReportsOnQuotas() {
        assertThat(countDue(true)).isEqualTo(30);
    }

    @Test
    void aNewCoordinatorIsToldAtOnce() {
        assertThat(isDue(1, OTHERS, 1000)).isTrue();

        assertThat(isDue(1, List.of(new HostId("b"), new HostId("d")), 1100)).isTrue();
        assertThat(isDue(1, List.of(new HostId("d"), new HostId("b")), 1200)).isFalse();
    }

    @Test
    void requestsOfAccountsAreReportedAtOnce() {
        assertThat(isDue(1, OTHERS, 1000)).isTrue();

        assertThat(announcements.isDue(loads(1), OTHERS, true, true, nanos(1100)))
                .isTrue();
        assertThat(announcements.isDue(loads(1), OTHERS, false, true, nanos(1200)))
                .isFalse();
    }

    private int countDue(boolean quotasInUse) {
        int due = 0;
        for (long millis = SAMPLE_MILLIS; millis <= 6000; millis += SAMPLE_MILLIS) {
            due += announcements.isDue(loads(1), OTHERS, false, quotasInUse, nanos(millis)) ? 1 : 0;
        }
        return due;
    }

    private boolean isDue(int online, List<HostId> others, long millis) {
        return announcements.isDue(loads(online), others, false, false, nanos(millis));
    }

    private static List<GroupLoad> loads(int online) {
        return List.of(new GroupLoad(new EndpointGroup("model", 0), 8, online));
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
