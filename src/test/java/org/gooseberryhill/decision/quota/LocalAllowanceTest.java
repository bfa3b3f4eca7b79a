package org.gooseberryhill.decision.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LocalAllowanceTest {
    private static final int HOSTS = 70;
    private static final String STUDIO = "studio";

    private long nowNanos = TimeUnit.SECONDS.toNanos(9);
    private final LocalAllowance allowance = new LocalAllowance(nowNanos);

    @BeforeEach
    void configure() {
        allowance.configure(Map.of(STUDIO, new AccountQuota(100, 100)));
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
            allowance.recordAnswer(nowNanos);
            admitted += admitForSeconds(1, 4);
        }

        assertThat(admitted).isBetween(36, 40);
    }

    @Test
    void aHostThatAsksForMoreThanBeforeIsHeldToWhatWasUsual() {
        admittedByOthers(10, 4);
        int admitted = 0;
        for (int second = 0; second < 5; second++) {
            allowance.recordAnswer(nowNanos);
            admitted += admitForSeconds(1, 40);
        }

        assertThat(admitted).isLessThan(40);
    }

    @Test
    void aHostWithoutAnyAnswersAdmitsAPartOfWhatWasUsual() {
        admittedByOthers(10, 4);
        admitForSeconds(2, 4);

        assertThat(admitForSeconds(5, 4)).isBetween(3, 14);
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
