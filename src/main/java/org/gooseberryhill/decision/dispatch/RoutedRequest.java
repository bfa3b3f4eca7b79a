package org.gooseberryhill.decision.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.directory.EndpointKey;

/**
 * A routed request in progress. Not thread-safe; changed by {@link DispatchCore} only, but for the answer's progress.
 *
 * <p>Invariant: once an attempt may have run, the request may have run, whatever later attempts say.
 */
public final class RoutedRequest {
    private final RoutedIntake intake;
    private final Set<EndpointKey> tried = new HashSet<>();
    private final Set<EndpointKey> turnedAway = new HashSet<>();
    private final List<PastAttempt> pastAttempts = new ArrayList<>();
    private Optional<EndpointKey> endpoint = Optional.empty();
    private RequestProgress progress = new RequestProgress(Outcome.NOT_RUN, 0, 0, false);
    private boolean leftSilentEndpoint;
    private long sentNanos;

    RoutedRequest(RoutedIntake intake) {
        this.intake = intake;
    }

    /** What was known when it arrived. */
    public RoutedIntake intake() {
        return intake;
    }

    /** The endpoint that has it now. */
    public Optional<EndpointKey> endpoint() {
        return endpoint;
    }

    /** What is known of its effect so far. */
    public Outcome outcome() {
        return progress.outcome();
    }

    /** How many endpoints may have run it. */
    public int runs() {
        return progress.runs();
    }

    /** How often it was sent. */
    public int sends() {
        return progress.sends();
    }

    /** The attempts that have ended, in their order. */
    public List<PastAttempt> pastAttempts() {
        return List.copyOf(pastAttempts);
    }

    /** The caller has a part of the answer. */
    public void answerBegun() {
        progress = progress.withAnswerBegun();
    }

    /** How far it has come; an attempt in progress is a send, and no run yet. */
    RequestProgress progress() {
        return progress;
    }

    Set<EndpointKey> tried() {
        return tried;
    }

    /** Whether an endpoint may take it by and by where none can now. */
    boolean mayBeTakenLater() {
        return leftSilentEndpoint || (progress.answerBegun() && !turnedAway.isEmpty());
    }

    long leftMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(intake.deadlineNanos() - nowNanos);
    }

    /** How long the present attempt has lasted. */
    public long runNanos(long nowNanos) {
        return nowNanos - sentNanos;
    }

    void sent(EndpointKey key, long nowNanos) {
        endpoint = Optional.of(key);
        progress = progress.withSend();
        sentNanos = nowNanos;
    }

    void attemptEnded(AttemptEnd end, long nowNanos) {
        endpoint.ifPresent(key -> {
            if (end == AttemptEnd.BUSY && (progress.answerBegun() || leftSilentEndpoint)) {
                turnedAway.add(key);
            } else {
                tried.add(key);
            }
            pastAttempts.add(new PastAttempt(key.id(), end, TimeUnit.NANOSECONDS.toMillis(runNanos(nowNanos))));
        });
        endpoint = Optional.empty();
        leftSilentEndpoint |= end == AttemptEnd.SILENT;
        progress = progress.after(end);
    }
}
