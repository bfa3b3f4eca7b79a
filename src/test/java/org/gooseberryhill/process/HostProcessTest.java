package org.gooseberryhill.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HostProcessTest {
    private static final long GRACE_MILLIS = 1000;
    private static final long BOUND_MILLIS = 3_600_000;

    @TempDir
    private Path folder;

    /**
     * Guards against requests that are cut off at the end of a planned stop, because the stop was timed only from
     * when a delayed control thread processed it.
     */
    @Test
    void aStopIsTimedFromTheRequestEvenIfTheControlThreadIsLate() {
        HostProcess process = new HostProcess(settings(), 1);
        CompletableFuture<Void> blocker = new CompletableFuture<>();
        process.loop().execute(blocker::join);
        process.requestStop();
        long requestedNanos = System.nanoTime();
        Loopback.await(
                "the end of the grace period",
                () -> System.nanoTime() - requestedNanos > TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS));
        CompletableFuture<PlannedStop.Phase> phase = new CompletableFuture<>();
        process.loop().execute(() -> {
            process.advanceStop(1, true);
            phase.complete(process.plannedStop().phase());
        });

        blocker.complete(null);

        assertThat(phase.join()).isEqualTo(PlannedStop.Phase.DRAINING);
        process.close();
    }

    private HostSettings settings() {
        Host self = new Host(
                new HostId("entry-0"), Role.ENTRY, new AvailabilityZone("zone-a"), Loopback.freeAddress(), false);
        return new HostSettings(
                self,
                Loopback.freeAddress(),
                Loopback.freeAddress(),
                1000,
                1000,
                1000,
                GRACE_MILLIS,
                BOUND_MILLIS,
                Optional.of(folder));
    }
}
