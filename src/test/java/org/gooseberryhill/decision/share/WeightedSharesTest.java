package org.gooseberryhill.decision.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;
import org.gooseberryhill.host.HostId;
import org.junit.jupiter.api.Test;

/** Tests how one coordinator shares the slots of a service, without endpoints. */
class WeightedSharesTest {
    private static final String SERVICE = "s";
    private static final int SLOTS = 100;
    private static final HostId OTHER = new HostId("other");
    private static final long REMAINING_MILLIS = 5000;

    private final WeightedShares shares = new WeightedShares(new Random(1));
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);

    /** Guards against a coordinator that refuses by counts of a fraction of a second after it has started. */
    @Test
    void aCoordinatorThatHasJustStartedServesAllInTheOrderOfArrival() {
        for (int i = 0; i < 90; i++) {
            advanceMillis(10);
            assertThat(place("large", 0).isWithinShare()).isTrue();
        }
    }

    /** Guards against slots that stay free although an account asks for them. */
    @Test
    void anAccountAboveItsShareUsesFreeSlotsBeyondTheKeptOnes() {
        surge();
        assertThat(shares.allow(request("large", 0)).excess()).isPresent();
        assertThat(shares.allow(request("large", 50)).excess()).isEmpty();
        assertThat(shares.allow(request("large", 50)).isWithinShare()).isFalse();
    }

    /** Guards against accounts that are refused because another one sends many times its usual rate. */
    @Test
    void anAccountWithinItsShareUsesTheWholeWaitWhileAnotherIsAboveIts() {
        surge();
        assertThat(shares.allow(request("small", 0))).isEqualTo(WaitAllowance.PREFERRED);
        assertThat(shares.allow(request("new", 0))).isEqualTo(WaitAllowance.PREFERRED);
    }

    /** Guards against slots that are kept, and queues that are refused, although nobody else asks for the slots. */
    @Test
    void anAccountThatAloneAsksForTheSlotsIsServedInTheOrderOfArrival() {
        for (int i = 0; i < 2000; i++) {
            advanceMillis(2.5);
            ShareCase request = request("only", 0);
            WaitAllowance allowance = shares.allow(request);
            assertThat(allowance).isEqualTo(WaitAllowance.WHOLE);
            if (i % 3 == 0) {
                shares.refused(request, allowance);
            } else {
                shares.placed(request, allowance);
            }
        }
    }

    /** Guards against an account that is refused although its quota allows it what it asks for. */
    @Test
    void theQuotaIsTheWeightOfAnAccountThatHasOne() {
        shares.configure(Map.of("large", new AccountQuota(1000, 10)));
        surge();
        assertThat(shares.allow(request("large", 0)).isWithinShare()).isTrue();
    }

    /** Guards against weights that grow by the requests that are above the share, so that a surge soon counts as usual. */
    @Test
    void requestsAboveTheShareDoNotRaiseTheWeight() {
        surge();
        double usualBefore = usualPerSecond("large");
        int refused = 0;
        int requests = 2000;
        for (int i = 0; i < requests; i++) {
            advanceMillis(2.5);
            refused += refuseOrPlace("large") ? 0 : 1;
            if (i % 12 == 0) {
                place("middle", 0);
            }
        }
        double withinPerSecond = (requests - refused) / 60.0;

        assertThat(refused).isGreaterThan(requests / 4);
        assertThat(usualPerSecond("large")).isLessThan(usualBefore + withinPerSecond + 1);
    }

    /** Guards against an account that gets a share in each group of endpoints. */
    @Test
    void theUseInOtherGroupsCounts() {
        surge();
        assertThat(shares.allow(request("small", 0)).isWithinShare()).isTrue();
        shares.record(OTHER, report("small", 200), nowNanos);
        advanceMillis(60);
        assertThat(shares.allow(request("small", 0)).excess()).isPresent();
    }

    /** Guards against the use of a lost coordinator that is held against an account for good. */
    @Test
    void theUseInOtherGroupsIsForgottenTwoSecondsAfterItsLastReport() {
        surge();
        shares.record(OTHER, report("small", 200), nowNanos);
        for (int i = 0; i < 210; i++) {
            advanceMillis(10);
            refuseOrPlace("large");
        }
        assertThat(shares.allow(request("small", 0)).isWithinShare()).isTrue();
    }

    /** Guards against callers who are all told the same time, and come back together. */
    @Test
    void refusedCallersAreToldDifferentTimesWithinWhatTheyWait() {
        surge();
        List<Long> retries = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            retries.add(shares.allow(request("large", 0)).excess().orElseThrow().retryAfterMillis());
        }
        assertThat(retries).allMatch(millis -> millis >= 1 && millis <= REMAINING_MILLIS / 3);
        assertThat(retries.stream().distinct().count()).isGreaterThan(50);
    }

    /** Guards against messages and log lines for slots that nobody competes for. */
    @Test
    void nothingIsReportedWhileSlotsAreFree() {
        for (int i = 0; i < 200; i++) {
            advanceMillis(10);
            place("large", 50);
        }
        assertThat(shares.report(nowNanos)).isEmpty();
        assertThat(shares.takeChanges()).isEmpty();
    }

    /** Guards against a log line for each refusal or for each change of the shares. */
    @Test
    void theBeginAndTheEndOfAContentionAreToldOnce() {
        surge();
        shares.report(nowNanos);
        assertThat(shares.takeChanges())
                .singleElement()
                .matches(change -> change.begun() && change.account().equals("large"));
        advanceMillis(4000);
        shares.report(nowNanos);
        assertThat(shares.takeChanges()).singleElement().matches(change -> !change.begun());
    }

    /** Guards against a message that grows with the number of accounts. */
    @Test
    void onlyTheLargestAccountsAreReportedOneByOne() {
        for (int account = 0; account < 100; account++) {
            advanceMillis(1);
            place("account-" + account, 0);
        }
        ServiceUse use = shares.report(nowNanos).orElseThrow().byService().get(SERVICE);
        assertThat(use.byAccount()).hasSize(32);
        assertThat(use.others().placedPerSecond()).isGreaterThan(50);
    }

    /** Accounts send 33, 20 and 5 requests a second, until one of them sends 400 while no slot is free. */
    private void surge() {
        for (int i = 0; i < 2000; i++) {
            advanceMillis(10);
            if (i % 5 == 0) {
                place("large", 50);
            }
            if (i % 3 == 0) {
                place("middle", 50);
            }
            if (i % 20 == 0) {
                place("small", 50);
            }
        }
        for (int i = 0; i < 400; i++) {
            advanceMillis(2.5);
            refuseOrPlace("large");
            if (i % 12 == 0) {
                place("middle", 0);
            }
            if (i % 80 == 0) {
                place("small", 0);
            }
        }
    }

    private double usualPerSecond(String account) {
        return shares.report(nowNanos)
                .orElseThrow()
                .byService()
                .get(SERVICE)
                .byAccount()
                .get(account)
                .usualPerSecond();
    }

    /** Sends a request while no slot is free; returns whether it was placed. */
    private boolean refuseOrPlace(String account) {
        ShareCase request = request(account, 0);
        WaitAllowance allowance = shares.allow(request);
        if (allowance.excess().isPresent()) {
            shares.refused(request, allowance);
            return false;
        }
        shares.placed(request, allowance);
        return true;
    }

    private WaitAllowance place(String account, int freeSlots) {
        ShareCase request = request(account, freeSlots);
        WaitAllowance allowance = shares.allow(request);
        shares.placed(request, allowance);
        return allowance;
    }

    private ShareCase request(String account, int freeSlots) {
        return new ShareCase(SERVICE, Optional.of(account), freeSlots, SLOTS, REMAINING_MILLIS, nowNanos);
    }

    private static AccountUseReport report(String account, double perSecond) {
        AccountUse use = new AccountUse(perSecond, perSecond, 1);
        return new AccountUseReport(Map.of(SERVICE, new ServiceUse(20_000, Map.of(account, use), AccountUse.NONE)));
    }

    private void advanceMillis(double millis) {
        nowNanos += (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }
}
