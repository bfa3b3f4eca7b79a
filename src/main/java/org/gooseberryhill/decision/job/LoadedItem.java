package org.gooseberryhill.decision.job;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Json;

/**
 * The state of one item of a chunk that is in memory. Not thread-safe.
 *
 * <p>Invariant: an item gets one completion, a line of JSON with its result or its permanent failure; reports of
 * hand-outs other than the latest have no effect.
 */
final class LoadedItem {
    /** Number of attempts that end in an error after which the item has failed permanently. */
    private static final int MAX_FAILURES = 3;

    /**
     * Number of crashes after which the item has failed permanently. It is one more than for online requests: those are
     * refused only for some time, while this failure is final, and an item may by chance be running at two crashes that
     * another item caused.
     */
    private static final int MAX_CRASHES = 3;

    private final String body;
    private Optional<HostId> holder = Optional.empty();
    private Optional<String> completion = Optional.empty();
    private boolean failedPermanently;
    private long handout;
    private long handedOutNanos;
    private Optional<Long> notBeforeNanos = Optional.empty();
    private int failures;
    private int crashes;
    private String partialText = "";
    private int partialTokens;

    LoadedItem(String body) {
        this.body = body;
    }

    /** Returns the time before which the item must not run again; empty if it may run immediately. */
    Optional<Long> notBeforeNanos() {
        return notBeforeNanos;
    }

    boolean isRunning() {
        return holder.isPresent();
    }

    long handout() {
        return handout;
    }

    Optional<HostId> holder() {
        return holder;
    }

    boolean isHeldBy(HostId host) {
        return holder.equals(Optional.of(host));
    }

    Optional<String> completion() {
        return completion;
    }

    boolean isFailedPermanently() {
        return failedPermanently;
    }

    boolean isSuspect() {
        return crashes > 0;
    }

    double millisSinceHandOut(long nowNanos) {
        return (double) (nowNanos - handedOutNanos) / TimeUnit.MILLISECONDS.toNanos(1);
    }

    boolean isHandedOutLongerThan(long ageNanos, long nowNanos) {
        return nowNanos - handedOutNanos > ageNanos;
    }

    WorkItem handOut(String job, int index, long fence, long number, HostId steward, long nowNanos) {
        holder = Optional.of(steward);
        handout = number;
        handedOutNanos = nowNanos;
        return new WorkItem(job, index, fence, number, body, partialText, partialTokens, isSuspect());
    }

    /** Ends the current hand-out without a report, because its steward is lost or has had the item for too long. */
    void endHandOut() {
        holder = Optional.empty();
    }

    /** Applies a report and returns whether it belonged to the latest hand-out. */
    boolean applyReport(ItemOutcome outcome, long nowNanos, long backoffNanos) {
        if (holder.isEmpty() || outcome.handout() != handout) {
            return false;
        }
        holder = Optional.empty();
        notBeforeNanos = Optional.empty();
        switch (outcome.end()) {
            case COMPLETED -> completion = Optional.of(succeededLine(outcome));
            case REJECTED -> completeAsFailed(outcome.index(), "rejected", outcome.text());
            case YIELDED -> keepPartial(outcome);
            case CRASHED -> recordCrash(outcome, nowNanos, backoffNanos);
            case FAILED -> recordFailure(outcome, nowNanos, backoffNanos);
            case NOT_RUN -> notBeforeNanos = Optional.of(nowNanos + backoffNanos);
            default -> throw new IllegalStateException("unknown end of a run: " + outcome.end());
        }
        return true;
    }

    private void keepPartial(ItemOutcome outcome) {
        if (outcome.tokens() >= partialTokens) {
            partialText = outcome.text();
            partialTokens = outcome.tokens();
        }
    }

    private void recordCrash(ItemOutcome outcome, long nowNanos, long backoffNanos) {
        crashes++;
        notBeforeNanos = Optional.of(nowNanos + backoffNanos);
        if (crashes >= MAX_CRASHES) {
            completeAsFailed(
                    outcome.index(), "crashed-endpoints", "each of " + crashes + " endpoints that ran it crashed");
        }
    }

    private void recordFailure(ItemOutcome outcome, long nowNanos, long backoffNanos) {
        failures++;
        // The partial text to continue from may have caused the failure, so the next attempt starts from scratch.
        partialText = "";
        partialTokens = 0;
        notBeforeNanos = Optional.of(nowNanos + backoffNanos * failures);
        if (failures >= MAX_FAILURES) {
            completeAsFailed(outcome.index(), "endpoint-failed", outcome.text());
        }
    }

    private void completeAsFailed(int index, String code, String message) {
        failedPermanently = true;
        completion = Optional.of(Json.text(Json.object()
                .put("index", index)
                .put("status", "failed")
                .set("error", Json.object().put("code", code).put("message", message))));
    }

    private static String succeededLine(ItemOutcome outcome) {
        return Json.text(Json.object()
                .put("index", outcome.index())
                .put("status", "succeeded")
                .put("text", outcome.text())
                .put("tokens", outcome.tokens()));
    }
}
