package org.gooseberryhill.decision.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.ServiceVersion;
import org.junit.jupiter.api.Test;

class StreamOriginLogTest {
    private static final ServiceVersion V1 = new ServiceVersion("s", "v1");
    private static final ServiceVersion V2 = new ServiceVersion("s", "v2");
    private static final ServiceVersion OTHER_SERVICE = new ServiceVersion("t", "v1");

    private final StreamOriginLog log = new StreamOriginLog();

    @Test
    void theVersionThatBeganAStreamIsFound() {
        log.record(new StreamOrigin("a", V1), 0);
        log.record(new StreamOrigin("b", V2), 0);

        assertThat(log.find("a", 1)).containsOnly(V1);
        assertThat(log.find("b", 1)).containsOnly(V2);
        assertThat(log.find("c", 1)).isEmpty();
    }

    /** Guards against a stream that goes on at either version after a client used an id twice. */
    @Test
    void anIdThatIsRecordedWithTwoVersionsKeepsBoth() {
        log.record(new StreamOrigin("a", V1), 0);
        log.record(new StreamOrigin("a", V2), 0);
        log.record(new StreamOrigin("a", V2), 0);

        assertThat(log.find("a", 1)).containsOnly(V1, V2);
    }

    /** Guards against memory that grows with the number of streams served. */
    @Test
    void anOriginIsForgottenAfterItsRetentionUnlessItIsRecordedAgain() {
        log.record(new StreamOrigin("a", V1), 0);
        log.record(new StreamOrigin("b", V1), 0);
        log.record(new StreamOrigin("b", V1), StreamOriginLog.RETENTION_NANOS);
        long later = StreamOriginLog.RETENTION_NANOS + 1;

        assertThat(log.find("a", later)).isEmpty();
        assertThat(log.find("b", later)).containsOnly(V1);
    }

    @Test
    void theOldestOriginsGoFirstWhenThereAreTooMany() {
        for (int i = 0; i <= StreamOriginLog.MAX_STREAMS; i++) {
            log.record(new StreamOrigin("r" + i, V1), i);
        }

        assertThat(log.find("r0", StreamOriginLog.MAX_STREAMS)).isEmpty();
        assertThat(log.find("r" + StreamOriginLog.MAX_STREAMS, StreamOriginLog.MAX_STREAMS))
                .containsOnly(V1);
    }

    @Test
    void onlyStreamsOfAServiceThatMayBeTakenUpAreListed() {
        long maxAgeNanos = TimeUnit.SECONDS.toNanos(10);
        long nowNanos = maxAgeNanos + 1;
        StreamOrigin recent = new StreamOrigin("b", V1);
        log.record(new StreamOrigin("a", V1), 0);
        log.record(recent, nowNanos - 1);
        log.record(new StreamOrigin("c", OTHER_SERVICE), nowNanos - 1);

        assertThat(log.recent("s", maxAgeNanos, nowNanos)).containsOnly(recent);
    }
}
