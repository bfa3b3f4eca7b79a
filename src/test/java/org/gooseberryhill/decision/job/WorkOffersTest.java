package org.gooseberryhill.decision.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class WorkOffersTest {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final WorkOffers offers = new WorkOffers();

    @Test
    void workIsOfferedOnceUntilItHasRunOut() {
        assertThat(offers.recordWaiting("s", 0)).isTrue();
        assertThat(offers.recordWaiting("s", 1000 * NANOS_PER_MILLI)).isFalse();
        assertThat(offers.recordWaiting("other", 1000 * NANOS_PER_MILLI)).isTrue();
        offers.recordNoneWaiting("s");

        assertThat(offers.recordWaiting("s", 2000 * NANOS_PER_MILLI)).isTrue();
    }

    /**
     * A burst of online requests makes hundreds of items yield one after the other, and each is handed out immediately:
     * only a few offers must be sent.
     */
    @Test
    void manyYieldsInABurstMakeFewOffers() {
        int sentOffers = 0;
        for (int milli = 0; milli < 1000; milli++) {
            if (offers.recordWaiting("s", milli * NANOS_PER_MILLI)) {
                sentOffers++;
            }
            offers.recordNoneWaiting("s");
        }

        assertThat(sentOffers).isEqualTo(4);
    }
}
