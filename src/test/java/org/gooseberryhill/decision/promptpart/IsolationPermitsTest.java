package org.gooseberryhill.decision.promptpart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.keys;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointKey;
import org.junit.jupiter.api.Test;

class IsolationPermitsTest {
    private static final EndpointKey E1 = new EndpointKey("e1", 1);
    private static final EndpointKey E2 = new EndpointKey("e2", 1);
    private static final List<EndpointKey> BOTH = List.of(E1, E2);

    private final IsolationPermits permits = new IsolationPermits();

    @Test
    void aPartRunsOnceAtATime() {
        Optional<IsolationPermit> first = permits.tryAcquire(keys("a", "b"), false, BOTH, 0);

        assertThat(first).contains(new IsolationPermit(keys("a", "b"), Optional.empty()));
        assertThat(permits.tryAcquire(keys("b"), false, BOTH, 0)).isEmpty();
        permits.release(first.get());
        assertThat(permits.tryAcquire(keys("b"), false, BOTH, 0)).isPresent();
    }

    /** Guards against a crash with two suspects, which tells nothing. */
    @Test
    void confinedPartsGetEndpointsOfTheirOwn() {
        assertThat(permits.tryAcquire(keys("a"), true, BOTH, 0).get().endpoint())
                .contains(E1);
        assertThat(permits.tryAcquire(keys("b"), true, BOTH, 0).get().endpoint())
                .contains(E2);
        assertThat(permits.tryAcquire(keys("c"), true, BOTH, 0)).isEmpty();
    }

    /** Guards against a part that nobody may run again since the holder of its permit was lost. */
    @Test
    void aPermitExpires() {
        permits.tryAcquire(keys("a"), true, BOTH, 0);

        assertThat(permits.tryAcquire(keys("a"), true, BOTH, TimeUnit.SECONDS.toNanos(6)))
                .isPresent();
    }

    @Test
    void aReturnedPermitThatHadExpiredDoesNotEndTheNextOne() {
        IsolationPermit late =
                permits.tryAcquire(keys("a"), true, List.of(E1), 0).orElseThrow();
        permits.tryAcquire(keys("a"), true, List.of(E2), TimeUnit.SECONDS.toNanos(6));

        permits.release(late);

        assertThat(permits.tryAcquire(keys("a"), true, BOTH, TimeUnit.SECONDS.toNanos(7)))
                .isEmpty();
    }
}
