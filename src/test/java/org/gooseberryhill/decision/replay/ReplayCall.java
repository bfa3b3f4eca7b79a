package org.gooseberryhill.decision.replay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.route.Route;

/**
 * A caller's streamed request with its attempts. After a refusal the caller retries once, at a random host and after
 * the time that it was told, but it waits no longer than a third of the time that is left until its deadline.
 */
final class ReplayCall {
    private static final double MAX_WAIT_SHARE_OF_REMAINING_TIME = 1.0 / 3;
    private static final double ONE_WAY_LATENCY_MILLIS = 1;

    /** Longest pause between two events that callers accept. */
    private static final double MAX_PAUSE_MILLIS = 400;

    /** Share of the target latency after which a refusal is too late for a retry to be on time. */
    private static final double EARLY_SHARE_OF_TARGET = 0.25;

    private final VirtualClock clock;
    private final ServingReplay replay;
    private final Route route;
    private final Caller caller;
    private final int zone;
    private final double promptTokens;
    private final int events;
    private final long startNanos;
    private long attemptStartNanos;
    private boolean refusedEarly;
    private int refusals;
    private Optional<Double> firstEventMillis = Optional.empty();
    private Optional<Double> firstEventMillisOfAttempt = Optional.empty();
    private boolean answered;
    private long lastEventNanos;
    private double longestPauseMillis;

    ReplayCall(
            VirtualClock clock,
            ServingReplay replay,
            Route route,
            Caller caller,
            int zone,
            double promptTokens,
            int events) {
        this.clock = clock;
        this.replay = replay;
        this.route = route;
        this.caller = caller;
        this.zone = zone;
        this.promptTokens = promptTokens;
        this.events = events;
        this.startNanos = clock.nowNanos();
    }

    Caller caller() {
        return caller;
    }

    /** Returns the name of the account that sends the call; empty if none does. */
    String account() {
        return caller.accountName().orElse("");
    }

    int zone() {
        return zone;
    }

    long startNanos() {
        return startNanos;
    }

    boolean isRefused() {
        return refusals > 0;
    }

    /** Returns the time from the call to its first event, retries included; empty if there was none. */
    Optional<Double> firstEventMillis() {
        return firstEventMillis;
    }

    double promptTokens() {
        return promptTokens;
    }

    int events() {
        return events;
    }

    void startAttempt() {
        attemptStartNanos = clock.nowNanos();
        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> replay.hostOf(this).receive(this, route, deadlineNanos()));
    }

    void onEvent() {
        if (firstEventMillis.isPresent()) {
            longestPauseMillis = Math.max(longestPauseMillis, millisSince(lastEventNanos));
        }
        lastEventNanos = clock.nowNanos();
        if (firstEventMillis.isEmpty()) {
            firstEventMillis = Optional.of(millisSince(startNanos) + ONE_WAY_LATENCY_MILLIS);
            firstEventMillisOfAttempt = Optional.of(millisSince(attemptStartNanos) + ONE_WAY_LATENCY_MILLIS);
        }
    }

    void onAnswered() {
        answered = true;
    }

    void onRefused(long retryAfterMillis) {
        refusals++;
        if (refusals > 1) {
            return;
        }
        refusedEarly = millisSince(attemptStartNanos) <= EARLY_SHARE_OF_TARGET * route.targetLatencyMillis();
        double remainingMillis = route.timeoutMillis() - millisSince(startNanos);
        clock.schedule(
                ONE_WAY_LATENCY_MILLIS + Math.min(retryAfterMillis, remainingMillis * MAX_WAIT_SHARE_OF_REMAINING_TIME),
                this::startAttempt);
    }

    boolean isServed() {
        return answered;
    }

    boolean isOnTime() {
        return answered && refusals == 0 && firstEventMillis.orElseThrow() <= route.targetLatencyMillis();
    }

    /** Returns whether the caller got the whole answer as it needs it, whether or not it was refused before. */
    boolean isServedInTime() {
        return answered
                && firstEventMillis.orElseThrow() <= route.targetLatencyMillis()
                && longestPauseMillis <= MAX_PAUSE_MILLIS;
    }

    /** Returns when the call began, in seconds after the beginning of the replay. */
    double secondsAfterStart() {
        return (double) (startNanos - VirtualClock.START_NANOS) / TimeUnit.SECONDS.toNanos(1);
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
        return startNanos + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis());
    }

    private double millisSince(long nanos) {
        return (double) (clock.nowNanos() - nanos) / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
