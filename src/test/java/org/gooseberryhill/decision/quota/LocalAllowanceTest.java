package org.gooseberryhill.decision.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LocalAllowanceTest {
    private static final int HOSTS = 70;
    private static final String STUDIO = "studio";
    private static final int RATE = 100;

    private long nowNanos = TimeUnit.SECONDS.toNanos(9);
    private final LocalAllowance allowance = new LocalAllowance(nowNanos);

    @BeforeEach
    void configure() {
        allowance.configure(Map.of(STUDIO, new AccountQuota(RATE, RATE)));
    }

    /** Guards against hosts that each run an account's whole quota while nobody counts its requests. */
    @Test
    void aHostThatHasJustStartedAdmitsFewRequestsOfAnAccount() {
        assertThat(admitForSeconds(5, 20)).isBetween(2, 8);
    }

    /** Guards against rejecting most requests of a fleet whose coordinators answer late. */
    @Test
    void aHostGoesOnAdmittingWhatWasAdmittedBeforeWhileAnswersComeLate() {
        admittedByOthers(10, 4);
        int admitted = 0;
        for (int second = 0; second < 10; second++) {
            allowance.recordLateAnswer(nowNanos);
            admitted += admitForSeconds(1, 4);
        }

        assertThat(admitted).isBetween(36, 40);
    }

    @Test
    void aHostThatAsksForMoreThanBeforeIsHeldToWhatWasUsual() {
        admittedByOthers(10, 4);
        int admitted = 0;
        for (int second = 0; second < 5; second++) {
            allowance.recordLateAnswer(nowNanos);
            admitted += admitForSeconds(1, 40);
        }

        assertThat(admitted).isLessThan(40);
    }

    /** Guards against hosts that are cut off and run what is usual there, while the others use the whole quota. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 20, 70, 300})
    void hostsWithoutAnyAnswersAdmitTogetherAQuarterSecondOfTheQuota(int hosts) {
        int admitted = 0;
        for (int host = 0; host < hosts; host++) {
            LocalAllowance cutOff = new LocalAllowance(nowNanos);
            cutOff.configure(Map.of(STUDIO, new AccountQuota(RATE, RATE)));
            admitted += admittedAfterCut(cutOff, (double) RATE / hosts);
        }

        assertThat(admitted).isLessThanOrEqualTo((int) (1.5 * (0.25 * RATE + 4)));
    }

    @Test
    void aHostWithoutAnyAnswersAdmitsTheNextRequestOfAnAccountThatFewHostsAskFor() {
        assertThat(admittedAfterCut(allowance, (double) RATE / 5)).isPositive();
    }

    /** Guards against running requests of an account beyond a quota that is known to be used up. */
    @Test
    void nothingIsAdmittedOfAnAccountWhoseQuotaIsUsedUp() {
        admittedByOthers(10, 4);
        allowance.recordRejected(STUDIO, nowNanos);

        assertThat(admitForSeconds(1, 4)).isZero();
    }

    @Test
    void anAccountWithoutAQuotaIsNotLimited() {
        assertThat(allowance.admit("shop", HOSTS, nowNanos)).isTrue();
    }

    /** Returns how many requests of a hot account a host admits in a window after it was cut off. */
    private int admittedAfterCut(LocalAllowance cutOff, double usualPerSecond) {
        long atNanos = nowNanos;
        for (double request = 0; request < 10 * usualPerSecond; request++) {
            atNanos += (long) (TimeUnit.SECONDS.toNanos(1) / usualPerSecond);
            cutOff.recordAdmitted(STUDIO, atNanos);
        }
        int admitted = 0;
        for (int request = 0; request < 5 * RATE; request++) {
            atNanos += TimeUnit.SECONDS.toNanos(1) / RATE;
            admitted += cutOff.admit(STUDIO, HOSTS, atNanos) ? 1 : 0;
        }
        return admitted;
    }

    private void admittedByOthers(int seconds, int perSecond) {
        for (int request = 0; request < seconds * perSecond; request++) {
            advance(perSecond);
            allowance.recordAdmitted(STUDIO, nowNanos);
        }
    }

    private int admitForSeconds(int seconds, int perSecond) {
        int admitted = 0;
        for (int request = 0; request < seconds * perSecond; request++) {
            advance(perSecond);
            admitted += allowance.admit(STUDIO, HOSTS, nowNanos) ? 1 : 0;
        }
        return admitted;
    }

    private void advance(int perSecond) {
        nowNanos += TimeUnit.SECONDS.toNanos(1) / perSecond;
    }
}
