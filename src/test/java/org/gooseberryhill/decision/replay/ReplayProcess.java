package org.gooseberryhill.decision.replay;

import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.EventPace;
import org.gooseberryhill.decision.dispatch.ProcessPauses;

/** The process of a simulated host, which may be paused or lost. */
final class ReplayProcess {
    private final VirtualClock clock;
    private final ProcessPauses pauses = new ProcessPauses();
    private boolean lost;
    private long pausedUntilNanos;

    ReplayProcess(VirtualClock clock) {
        this.clock = clock;
    }

    /** Ends the process: it handles nothing any more. */
    void lose() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    /** Pauses the process: what arrives meanwhile is handled afterwards. */
    void pause(double millis) {
        pausedUntilNanos = clock.nowNanos() + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Runs an action at once, or after the pause; not in a lost process. */
    void run(Runnable action) {
        if (lost) {
            return;
        }
        if (pausedUntilNanos <= clock.nowNanos()) {
            action.run();
        } else {
            double millis = (double) (pausedUntilNanos - clock.nowNanos()) / TimeUnit.MILLISECONDS.toNanos(1);
            clock.schedule(millis, () -> run(action));
        }
    }

    /** Records that the process runs. */
    void tick() {
        pauses.tick(clock.nowNanos(), clock.nowMillis());
    }

    /** Returns the timing of an attempt as the process reports it. */
    AttemptTiming timing(long nanos, EventPace pace) {
        boolean paused = pauses.since(clock.nowNanos() - nanos, clock.nowNanos());
        return new AttemptTiming(nanos, paused ? 0 : pace.eventNanos());
    }
}
