package org.gooseberryhill.decision.promptpart;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The trials of requests that the system has accepted and still owes: they go on at the same pace while their runs crash
 * endpoints. Nobody sends them again later, and an answer to one of them lifts a block of sound parts. Stateless.
 */
public final class OwedRequestTrials implements TrialSchedule {
    private static final long DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    @Override
    public Optional<Long> nextTrialNanos(PartBlock block) {
        return Optional.of(block.lastCrashNanos() + DELAY_NANOS);
    }
}
