package org.gooseberryhill.decision.dispatch;

/**
 * Measures the time between the last events of a stream. Not thread-safe.
 *
 * <p>Load pattern: streams of a service differ in length, in prompt and in the time for which they wait at the endpoint;
 * the time between events depends on the endpoint and a little on its load. The last events are used rather than the whole
 * stream, since an endpoint may have become slow during the stream.
 */
public final class EventPace {
    /**
     * At the usual pace of the sites in use (29 ms) about 175 ms, so that a slow period of 600 ms shows within half of it. The
     * share of callers served in time is about the same for 5, 8 and 12 events in the replay.
     */
    private static final int LAST_EVENTS = 6;

    /** With fewer events the handling time of the host dominates. */
    private static final int MIN_EVENTS = 4;

    private final long[] arrivedNanos = new long[LAST_EVENTS + 1];
    private final int[] counts = new int[LAST_EVENTS + 1];
    private int arrivals;
    private int events;

    /** Records events that arrived together. */
    public void arrived(int newEvents, long nowNanos) {
        events += newEvents;
        int index = arrivals % arrivedNanos.length;
        arrivedNanos[index] = nowNanos;
        counts[index] = events;
        arrivals++;
    }

    /** Returns the mean time between the last events; 0 if there were too few. */
    public long eventNanos() {
        if (arrivals == 0) {
            return 0;
        }
        int newest = (arrivals - 1) % arrivedNanos.length;
        int oldest = arrivals <= arrivedNanos.length ? 0 : arrivals % arrivedNanos.length;
        int between = counts[newest] - counts[oldest];
        return between < MIN_EVENTS ? 0 : (arrivedNanos[newest] - arrivedNanos[oldest]) / between;
    }
}
