package org.gooseberryhill.decision.job;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Json;

/**
 * One item of an open chunk. Not thread-safe.
 *
 * <p>Invariant: it gets one completion; reports of hand-outs other than the latest change nothing.
 */
final class ItemSlot {
    /** Tries that end in an error before the item has failed for good. */
    private static final int MAX_FAILURES = 3;

    /**
     * Crashes before the item has failed for good. One more than for online requests: there the refusal ends after
     * a time, here it is final, and an innocent item may share two crashes with a guilty one by bad luck.
     */
    private static final int MAX_CRASHES = 3;

    private final String body;
    private Optional<HostId> holder = Optional.empty();
    private Optional<String> completion = Optional.empty();
    private boolean failedForGood;
    private long handout;
    private long handedOutNanos;
    private Optional<Long> notBeforeNanos = Optional.empty();
    private int failures;
    private int crashes;
    private String partial = "";
    private int partialTokens;

    ItemSlot(String body) {
        this.body = body;
    }

    /** When the item may run again; empty if at once. */
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

    boolean isFailedForGood() {
        return failedForGood;
    }

    boolean isSuspect() {
        return crashes > 0;
    }

    double ranMillis(long nowNanos) {
        return (double) (nowNanos - handedOutNanos) / TimeUnit.MILLISECONDS.toNanos(1);
    }

    boolean isOlderThan(long ageNanos, long nowNanos) {
        return nowNanos - handedOutNanos > ageNanos;
    }

    WorkItem handOut(String job, int index, long fence, long number, HostId steward, long nowNanos) {
        holder = Optional.of(steward);
        handout = number;
        handedOutNanos = nowNanos;
        return new WorkItem(job, index, fence, number, body, partial, partialTokens, isSuspect());
    }

    /** The steward that had it is lost, or had it for too long: it waits again. */
    void takeBack() {
        holder = Optional.empty();
    }

    /** Takes in a report; returns whether it belonged to the latest hand-out. */
    boolean report(ItemOutcome outcome, long nowNanos, long backoffNanos) {
        if (holder.isEmpty() || outcome.handout() != handout) {
            return false;
        }
        holder = Optional.empty();
        notBeforeNanos = Optional.empty();
        switch (outcome.end()) {
            case COMPLETED -> completion = Optional.of(succeededLine(outcome));
            case REJECTED -> fail(outcome.index(), "rejected", outcome.text());
            case YIELDED -> keepPartial(outcome);
            case CRASHED -> crashed(outcome, nowNanos, backoffNanos);
            case FAILED -> failedOnce(outcome, nowNanos, backoffNanos);
            case NOT_RUN -> notBeforeNanos = Optional.of(nowNanos + backoffNanos);
            default -> throw new IllegalStateException("unknown end " + outcome.end());
        }
        return true;
    }

    private void keepPartial(ItemOutcome outcome) {
        if (outcome.tokens() >= partialTokens) {
            partial = outcome.text();
            partialTokens = outcome.tokens();
        }
    }

    private void crashed(ItemOutcome outcome, long nowNanos, long backoffNanos) {
        crashes++;
        notBeforeNanos = Optional.of(nowNanos + backoffNanos);
        if (crashes >= MAX_CRASHES) {
            fail(outcome.index(), "crashed-endpoints", "each of " + crashes + " endpoints that ran it crashed");
        }
    }

    private void failedOnce(ItemOutcome outcome, long nowNanos, long backoffNanos) {
        failures++;
        // It may have failed because of what it was to be continued from: the next try begins anew.
        partial = "";
        partialTokens = 0;
        notBeforeNanos = Optional.of(nowNanos + backoffNanos * failures);
        if (failures >= MAX_FAILURES) {
            fail(outcome.index(), "endpoint-failed", outcome.text());
        }
    }

    private void fail(int index, String code, String message) {
        failedForGood = true;
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
