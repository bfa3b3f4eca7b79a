package org.gooseberryhill.decision.replay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.route.Route;

/**
 * A caller's streamed request with its attempts. After a refusal the caller retries once, at a random host and after the
 * time that it was told, but it waits no longer than a third of the time that is left until its deadline.
 */
final class ReplayCall {
    private static final double MAX_SHARE_OF_LEFT = 1.0 / 3;
    private static final double WAY_MILLIS = 1;

    /** Share of the target latency after which a refusal is too late for a retry to be on time. */
    private static final double EARLY_SHARE_OF_TARGET = 0.25;

    private final VirtualTime time;
    private final ServingReplay replay;
    private final Route route;
    private final double promptTokens;
    private final int events;
    private final long beganNanos;
    private long attemptNanos;
    private boolean refusedEarly;
    private int refusals;
    private Optional<Double> firstEventMillis = Optional.empty();
    private Optional<Double> firstEventMillisOfAttempt = Optional.empty();
    private boolean answered;

    ReplayCall(VirtualTime time, ServingReplay replay, Route route, double promptTokens, int events) {
        this.time = time;
        this.replay = replay;
        this.route = route;
        this.promptTokens = promptTokens;
        this.events = events;
        this.beganNanos = time.nowNanos();
    }

    double promptTokens() {
        return promptTokens;
    }

    int events() {
        return events;
    }

    void begin() {
        attemptNanos = time.nowNanos();
        time.after(WAY_MILLIS, () -> replay.anyHost().arrive(this, route, deadlineNanos()));
    }

    void event() {
        if (firstEventMillis.isEmpty()) {
            firstEventMillis = Optional.of(millisSince(beganNanos) + WAY_MILLIS);
            firstEventMillisOfAttempt = Optional.of(millisSince(attemptNanos) + WAY_MILLIS);
        }
    }

    void answered() {
        answered = true;
    }

    void refused(long retryAfterMillis) {
        refusals++;
        if (refusals > 1) {
            return;
        }
        refusedEarly = millisSince(attemptNanos) <= EARLY_SHARE_OF_TARGET * route.targetLatencyMillis();
        double leftMillis = route.timeoutMillis() - millisSince(beganNanos);
        time.after(WAY_MILLIS + Math.min(retryAfterMillis, leftMillis * MAX_SHARE_OF_LEFT), this::begin);
    }

    boolean isServed() {
        return answered;
    }

    boolean isOnTime() {
        return answered && refusals == 0 && firstEventMillis.orElseThrow() <= route.targetLatencyMillis();
    }

    /** Returns whether the call was refused early and then on time, as measured from its second attempt. */
    boolean isOnTimeAfterRefusal() {
        return answered
                && refusals == 1
                && refusedEarly
                && firstEventMillisOfAttempt.orElseThrow() <= route.targetLatencyMillis();
    }

    boolean isRefusedTwice() {
        return refusals > 1;
    }

    private long deadlineNanos() {
        return beganNanos + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis());
    }

    private double millisSince(long nanos) {
        return (double) (time.nowNanos() - nanos) / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
