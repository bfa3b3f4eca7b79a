package org.gooseberryhill.decision.online;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Outcome;

/**
 * Tracks the progress of an online request. Not thread-safe; modified only by {@link OnlineCore}, except for {@link
 * #markAnswerStarted}.
 *
 * <p>Invariant: once an attempt may have run, the request may have run, whatever the outcome of later attempts.
 */
public final class OnlineRequest {
    private static final long MAX_PERMIT_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final OnlineRequestInfo info;
    private final Set<String> tried = new HashSet<>();
    private Optional<String> endpoint = Optional.empty();
    private Outcome outcome = Outcome.NOT_RUN;
    private boolean holdsPermit;
    private boolean answerStarted;
    private int attempts;
    private long attemptStartNanos;
    private Optional<Long> permitWaitStartNanos = Optional.empty();

    OnlineRequest(OnlineRequestInfo info) {
        this.info = info;
    }

    /** Returns the properties of the request that were known on arrival. */
    public OnlineRequestInfo info() {
        return info;
    }

    /** Returns the endpoint of the attempt in progress, or empty if there is none. */
    public Optional<String> endpoint() {
        return endpoint;
    }

    /** Returns whether the request may have run in any attempt so far. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the number of attempts made. */
    public int attempts() {
        return attempts;
    }

    /** Records that the caller has a part of the answer that no other endpoint can continue. */
    public void markAnswerStarted() {
        answerStarted = true;
    }

    boolean isAnswerStarted() {
        return answerStarted;
    }

    Set<String> tried() {
        return tried;
    }

    /** Returns whether the request runs apart from other suspects with the arbiter's permit. */
    public boolean holdsPermit() {
        return holdsPermit;
    }

    void setHoldsPermit(boolean held) {
        holdsPermit = held;
    }

    /**
     * Returns whether a suspect may keep waiting for a permit. The wait is limited to 5 s from the first call.
     *
     * <p>Most suspects did not cause the crash, so permits become free as fast as other suspects complete. After the
     * limit the caller gets an immediate refusal with a retry-after time.
     */
    boolean mayWaitForPermit(long nowNanos) {
        if (permitWaitStartNanos.isEmpty()) {
            permitWaitStartNanos = Optional.of(nowNanos);
        }
        long waitedNanos = nowNanos - permitWaitStartNanos.get();
        return waitedNanos < MAX_PERMIT_WAIT_NANOS && remainingMillis(nowNanos) > 0;
    }

    long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(info.deadlineNanos() - nowNanos);
    }

    void attemptStarted(String name, long nowNanos) {
        endpoint = Optional.of(name);
        attempts++;
        attemptStartNanos = nowNanos;
    }

    long attemptRunNanos(long nowNanos) {
        return nowNanos - attemptStartNanos;
    }

    void attemptEnded() {
        endpoint = Optional.empty();
    }

    void attemptFailed(Outcome attemptOutcome) {
        endpoint.ifPresent(tried::add);
        endpoint = Optional.empty();
        if (attemptOutcome == Outcome.MAY_HAVE_RUN) {
            outcome = Outcome.MAY_HAVE_RUN;
        }
    }
}
