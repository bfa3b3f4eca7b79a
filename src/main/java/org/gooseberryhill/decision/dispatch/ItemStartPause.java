package org.gooseberryhill.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Pauses the start of new items at an endpoint after items have yielded there. Not thread-safe.
 *
 * <p>Load pattern: bursts of online requests that last some seconds. During a burst slots are free only briefly; items
 * that start in them have to yield again at once, and each start costs a connection. The pause doubles while a burst
 * lasts and is reset to its initial length after it.
 */
public final class ItemStartPause {
    private static final long INITIAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Two doublings: 1.2 s, half the length of a burst, so that slots do not stay empty for long after it. */
    private static final int MAX_DOUBLINGS = 2;

    /** A burst counts as over when no items had to yield for this long after the end of the pause. */
    private static final long RESET_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    private final Map<EndpointKey, Pause> pauses = new HashMap<>();

    /** Starts or extends the pause of an endpoint where items have yielded. */
    public void itemsYielded(EndpointKey endpoint, long nowNanos) {
        Pause last = pauses.get(endpoint);
        boolean sameBurst = last != null && nowNanos - last.untilNanos < RESET_AFTER_NANOS;
        int doublings = sameBurst ? Math.min(MAX_DOUBLINGS, last.doublings + 1) : 0;
        pauses.put(endpoint, new Pause(doublings, nowNanos + (INITIAL_PAUSE_NANOS << doublings)));
    }

    /** Returns whether an endpoint gets no new items now. */
    public boolean isPaused(EndpointKey endpoint, long nowNanos) {
        Pause pause = pauses.get(endpoint);
        return pause != null && nowNanos - pause.untilNanos < 0;
    }

    /** The end of a pause and how often its length was doubled. */
    private record Pause(int doublings, long untilNanos) {}
}
