package org.gooseberryhill.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointKey;

/**
 * How long an endpoint gets no new items after some gave way there. Not thread-safe.
 *
 * <p>Load pattern: waves of online requests of some seconds. Within one, slots are free for moments only; items that start
 * in each of them give way again at once, and every start costs a connection. The pause doubles while a wave lasts and
 * begins anew after it.
 */
public final class ItemPause {
    private static final long FIRST_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Two doublings: 1.2 s, half of a wave, so that the slots after it are not left empty for long. */
    private static final int MAX_DOUBLINGS = 2;

    /** After this long without giving way the wave is over. */
    private static final long CALM_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    private final Map<EndpointKey, Pause> pauses = new HashMap<>();

    /** Items gave way at an endpoint. */
    public void gaveWay(EndpointKey endpoint, long nowNanos) {
        Pause last = pauses.get(endpoint);
        boolean sameWave = last != null && nowNanos - last.untilNanos < CALM_NANOS;
        int doublings = sameWave ? Math.min(MAX_DOUBLINGS, last.doublings + 1) : 0;
        pauses.put(endpoint, new Pause(doublings, nowNanos + (FIRST_NANOS << doublings)));
    }

    /** Whether an endpoint gets no new items now. */
    public boolean isPaused(EndpointKey endpoint, long nowNanos) {
        Pause pause = pauses.get(endpoint);
        return pause != null && nowNanos - pause.untilNanos < 0;
    }

    /** A pause and how often it was doubled. */
    private record Pause(int doublings, long untilNanos) {}
}
