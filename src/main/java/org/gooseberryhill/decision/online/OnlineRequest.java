package org.gooseberryhill.decision.online;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Outcome;

/**
 * An online request in progress. Not thread-safe; changed by {@link OnlineCore} only.
 *
 * <p>Invariant: once an attempt may have run, the request may have run, whatever later attempts say.
 */
public final class OnlineRequest {
    private static final long MAX_PERMIT_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final OnlineIntake intake;
    private final Set<String> tried = new HashSet<>();
    private Optional<String> endpoint = Optional.empty();
    private Outcome outcome = Outcome.NOT_RUN;
    private boolean holdsPermit;
    private boolean answerStarted;
    private int attempts;
    private long attemptStartNanos;
    private Optional<Long> permitAskedNanos = Optional.empty();

    OnlineRequest(OnlineIntake intake) {
        this.intake = intake;
    }

    /** What was known when it arrived. */
    public OnlineIntake intake() {
        return intake;
    }

    /** The endpoint that has it now. */
    public Optional<String> endpoint() {
        return endpoint;
    }

    /** What is known about its effect so far. */
    public Outcome outcome() {
        return outcome;
    }

    /** How many attempts were made. */
    public int attempts() {
        return attempts;
    }

    /** The caller has a part of the answer that no other endpoint can continue. */
    public void answerStarted() {
        answerStarted = true;
    }

    boolean isAnswerStarted() {
        return answerStarted;
    }

    Set<String> tried() {
        return tried;
    }

    /** Whether it runs apart, by the arbiter's permit. */
    public boolean holdsPermit() {
        return holdsPermit;
    }

    void permit(boolean held) {
        holdsPermit = held;
    }

    /**
     * Whether a suspect may go on waiting for its turn to run apart. Most suspects are innocent, and their turn comes as
     * fast as others complete; past the bound the caller is told at once when to come back.
     */
    boolean mayWaitForPermit(long nowNanos) {
        if (permitAskedNanos.isEmpty()) {
            permitAskedNanos = Optional.of(nowNanos);
        }
        long waitedNanos = nowNanos - permitAskedNanos.get();
        return waitedNanos < MAX_PERMIT_WAIT_NANOS && remainingMillis(nowNanos) > 0;
    }

    long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(intake.deadlineNanos() - nowNanos);
    }

    void started(String name, long nowNanos) {
        endpoint = Optional.of(name);
        attempts++;
        attemptStartNanos = nowNanos;
    }

    long runNanos(long nowNanos) {
        return nowNanos - attemptStartNanos;
    }

    void ended() {
        endpoint = Optional.empty();
    }

    void failed(Outcome attemptOutcome) {
        endpoint.ifPresent(tried::add);
        endpoint = Optional.empty();
        if (attemptOutcome == Outcome.MAY_HAVE_RUN) {
            outcome = Outcome.MAY_HAVE_RUN;
        }
    }
}
