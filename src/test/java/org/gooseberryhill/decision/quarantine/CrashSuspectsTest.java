package org.gooseberryhill.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.quarantine.CrashSuspects.Verdict;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final Fingerprint GUILTY = new Fingerprint("guilty");
    private static final Fingerprint INNOCENT = new Fingerprint("innocent");

    private final CrashSuspects suspects = new CrashSuspects(TimeUnit.MINUTES.toMillis(10), 3);

    @Test
    void allRequestsInFlightAtACrashAreSuspect() {
        suspects.crashed("e1", List.of(GUILTY, INNOCENT), 0);

        assertThat(suspects.verdict(GUILTY, 0)).isEqualTo(Verdict.SUSPECT);
        assertThat(suspects.verdict(INNOCENT, 0)).isEqualTo(Verdict.SUSPECT);
    }

    @Test
    void theSecondCrashQuarantinesAndTheInnocentIsClearedByItsAnswer() {
        suspects.crashed("e1", List.of(GUILTY, INNOCENT), 0);
        suspects.completed(INNOCENT);
        suspects.crashed("e2", List.of(GUILTY), SECOND);

        assertThat(suspects.verdict(GUILTY, SECOND)).isEqualTo(Verdict.QUARANTINED);
        assertThat(suspects.verdict(INNOCENT, SECOND)).isEqualTo(Verdict.CLEAR);
    }

    /** Three hosts had the same popular prompt in flight at the crashed endpoint, and each reports the crash. */
    @Test
    void oneCrashToldByManyHostsCountsOnce() {
        suspects.crashed("e1", List.of(INNOCENT), 0);
        suspects.crashed("e1", List.of(INNOCENT), SECOND / 10);
        suspects.crashed("e1", List.of(INNOCENT), SECOND);

        assertThat(suspects.verdict(INNOCENT, SECOND)).isEqualTo(Verdict.SUSPECT);
    }

    @Test
    void aQuarantineEndsAfterItsTime() {
        suspects.crashed("e1", List.of(GUILTY), 0);
        suspects.crashed("e2", List.of(GUILTY), SECOND);

        assertThat(suspects.remainingMillis(GUILTY, SECOND)).isEqualTo(600_000);
        assertThat(suspects.verdict(GUILTY, 602 * SECOND)).isEqualTo(Verdict.CLEAR);
    }

    @Test
    void theMemoryIsBounded() {
        for (int i = 0; i < 10; i++) {
            suspects.crashed("e" + i, List.of(new Fingerprint("f" + i)), i * SECOND);
        }

        assertThat(suspects.size()).isEqualTo(3);
    }
}
