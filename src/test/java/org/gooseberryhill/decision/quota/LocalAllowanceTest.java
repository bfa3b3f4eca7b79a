package org.gooseberryhill.decision.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;
import org.junit.jupiter.api.Test;

class LocalAllowanceTest {
    private static final int HOSTS = 70;

    private final LocalAllowance allowance = new LocalAllowance();

    /** Guards against hosts that each run an account's whole quota while nobody counts its requests. */
    @Test
    void aHostAdmitsOneRequestOfAnAccountAndAFewInAMinute() {
        allowance.configure(Map.of("studio", new AccountQuota(100, 100)));
        long startNanos = TimeUnit.SECONDS.toNanos(9);

        int admitted = 0;
        for (int second = 0; second < 60; second++) {
            admitted += allowance.admit("studio", HOSTS, startNanos + TimeUnit.SECONDS.toNanos(second)) ? 1 : 0;
        }

        assertThat(allowance.admit("studio", HOSTS, startNanos)).isFalse();
        assertThat(admitted).isBetween(1, 10);
    }

    @Test
    void anAccountWithoutAQuotaIsNotLimited() {
        assertThat(allowance.admit("shop", HOSTS, 0)).isTrue();
    }
}
