package org.gooseberryhill.entry;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.idempotency.Claim;
import org.gooseberryhill.decision.idempotency.ClaimRecord;
import org.gooseberryhill.decision.idempotency.ClaimStep;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.process.HostProcess;

/** Carries a {@link Claim} to the key-value service and back. Used by the control thread but where it says so. */
final class ClaimDriver {
    /** Answers up to this size are kept for a resend; the service's values are small. */
    private static final int MAX_KEPT_BYTES = 64 * 1024;

    private static final int MAX_CLEANUP_TRIES = 20;
    private static final long CLEANUP_RETRY_MILLIS = 3000;

    private final HostProcess process;
    private final String key;
    private final ClaimRecord own;
    private final Claim claim;
    private volatile boolean answerKept;
    private Runnable onSend;
    private Consumer<ClaimRecord> onReplay;
    private Consumer<Refusal> onRefuse;

    ClaimDriver(HostProcess process, String caller, String idempotencyKey, String requestHash) {
        this.process = process;
        this.key = Keys.call(
                caller,
                Fingerprint.of("key", idempotencyKey.getBytes(StandardCharsets.UTF_8))
                        .value());
        this.own = ClaimRecord.claimed(UUID.randomUUID().toString(), requestHash, System.currentTimeMillis());
        this.claim = new Claim(own);
    }

    /** Claims the call; one of the three is called on the control thread. */
    void begin(Runnable send, Consumer<ClaimRecord> replay, Consumer<Refusal> refuse) {
        onSend = send;
        onReplay = replay;
        onRefuse = refuse;
        follow(claim.begin());
    }

    /** The call has its answer: keeps it, then runs the action, also if it can't be kept. From any thread. */
    void answered(int status, Map<String, String> headers, byte[] body, Runnable then) {
        answerKept = true;
        ClaimRecord record = body.length <= MAX_KEPT_BYTES ? own.answered(status, headers, body) : own.answerLost();
        Transaction write = Transaction.builder().put(key, Json.bytes(record)).build();
        process.keyValue().write(write).whenComplete((result, failure) -> {
            then.run();
            if (failure != null) {
                process.loop().execute(() -> cleanUp(write, MAX_CLEANUP_TRIES));
            }
        });
    }

    /** The call was given up: a call that did not run frees its key, one that may have run marks it. */
    void gaveUp(Refusal refusal) {
        if (answerKept) {
            return;
        }
        if (!claim.isSent()) {
            withdrawUnsent(MAX_CLEANUP_TRIES);
            return;
        }
        Transaction.Builder write = Transaction.builder();
        if (refusal.outcome() == Outcome.NOT_RUN) {
            write.delete(key);
        } else {
            write.put(key, Json.bytes(own.answerLost()));
        }
        cleanUp(write.build(), MAX_CLEANUP_TRIES);
    }

    private void follow(ClaimStep step) {
        if (step instanceof ClaimStep.Create) {
            Transaction create = Transaction.builder()
                    .ifAbsent(key)
                    .put(key, Json.bytes(own))
                    .build();
            process.keyValue()
                    .write(create)
                    .whenComplete((result, failure) -> process.loop()
                            .execute(() ->
                                    follow(failure == null ? claim.created(result.succeeded()) : claim.unanswered())));
        } else if (step instanceof ClaimStep.Read) {
            process.keyValue()
                    .read(key)
                    .whenComplete((result, failure) -> process.loop()
                            .execute(() -> follow(
                                    failure == null
                                            ? claim.read(record(result.first()), System.currentTimeMillis())
                                            : claim.unanswered())));
        } else if (step instanceof ClaimStep.Send) {
            onSend.run();
        } else if (step instanceof ClaimStep.Replay replay) {
            onReplay.accept(replay.record());
        } else if (step instanceof ClaimStep.Refuse refuse) {
            onRefuse.accept(refuse.refusal());
        }
    }

    /**
     * A claim whose creation was not answered may stand although its call was never sent; left alone, it would refuse
     * each resend. It is deleted, and only it: the record must be this call's own.
     */
    private void withdrawUnsent(int triesLeft) {
        if (!claim.isUncertain() || triesLeft == 0) {
            return;
        }
        process.keyValue()
                .read(key)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    if (failure != null) {
                        process.loop().after(CLEANUP_RETRY_MILLIS, () -> withdrawUnsent(triesLeft - 1));
                        return;
                    }
                    Optional<KeyValueStore.Entry> entry = result.first();
                    boolean isOwn = record(entry)
                            .filter(record -> record.claimId().equals(own.claimId()))
                            .isPresent();
                    if (isOwn) {
                        cleanUp(
                                Transaction.builder()
                                        .ifWrittenAt(key, entry.orElseThrow().modRevision())
                                        .delete(key)
                                        .build(),
                                MAX_CLEANUP_TRIES);
                    }
                }));
    }

    private void cleanUp(Transaction write, int triesLeft) {
        process.keyValue().write(write).whenComplete((result, failure) -> {
            if (failure != null && triesLeft > 0) {
                process.loop().after(CLEANUP_RETRY_MILLIS, () -> cleanUp(write, triesLeft - 1));
            }
        });
    }

    private static Optional<ClaimRecord> record(Optional<KeyValueStore.Entry> entry) {
        return entry.flatMap(
                found -> Json.read(found.value(), ClaimRecord.class).toJavaOptional());
    }
}
