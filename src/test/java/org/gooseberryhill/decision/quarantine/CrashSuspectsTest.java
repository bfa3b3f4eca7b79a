package org.gooseberryhill.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.quarantine.CrashSuspects.Verdict;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final Fingerprint CRASHING = new Fingerprint("guilty");
    private static final Fingerprint HARMLESS = new Fingerprint("innocent");

    private final CrashSuspects suspects = new CrashSuspects(TimeUnit.MINUTES.toMillis(10), 3);

    @Test
    void allRequestsInFlightAtACrashAreSuspect() {
        suspects.recordCrash("e1", List.of(CRASHING, HARMLESS), 0);

        assertThat(suspects.verdict(CRASHING, 0)).isEqualTo(Verdict.SUSPECT);
        assertThat(suspects.verdict(HARMLESS, 0)).isEqualTo(Verdict.SUSPECT);
    }

    @Test
    void aSecondCrashQuarantinesARequestAndACompletionClearsIt() {
        suspects.recordCrash("e1", List.of(CRASHING, HARMLESS), 0);
        suspects.clear(HARMLESS);
        suspects.recordCrash("e2", List.of(CRASHING), SECOND);

        assertThat(suspects.verdict(CRASHING, SECOND)).isEqualTo(Verdict.QUARANTINED);
        assertThat(suspects.verdict(HARMLESS, SECOND)).isEqualTo(Verdict.CLEAR);
    }

    /** Three hosts had the same popular prompt in flight at the crashed endpoint, and each reports the crash. */
    @Test
    void oneCrashReportedByManyHostsCountsOnce() {
        suspects.recordCrash("e1", List.of(HARMLESS), 0);
        suspects.recordCrash("e1", List.of(HARMLESS), SECOND / 10);
        suspects.recordCrash("e1", List.of(HARMLESS), SECOND);

        assertThat(suspects.verdict(HARMLESS, SECOND)).isEqualTo(Verdict.SUSPECT);
    }

    @Test
    void aQuarantineExpires() {
        suspects.recordCrash("e1", List.of(CRASHING), 0);
        suspects.recordCrash("e2", List.of(CRASHING), SECOND);

        assertThat(suspects.remainingMillis(CRASHING, SECOND)).isEqualTo(600_000);
        assertThat(suspects.verdict(CRASHING, 602 * SECOND)).isEqualTo(Verdict.CLEAR);
    }

    @Test
    void theNumberOfSuspectsIsBounded() {
        for (int i = 0; i < 10; i++) {
            suspects.recordCrash("e" + i, List.of(new Fingerprint("f" + i)), i * SECOND);
        }

        assertThat(suspects.size()).isEqualTo(3);
    }
}
