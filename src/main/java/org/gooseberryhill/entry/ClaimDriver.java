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

/**
 * Performs the steps of a {@link Claim} at the key-value store. Confined to the control thread, except where noted.
 */
final class ClaimDriver {
    /** Maximum size of an answer body stored for resent calls; the key-value store takes only small values. */
    private static final int MAX_STORED_BODY_BYTES = 64 * 1024;

    private static final int MAX_CLEANUP_TRIES = 20;
    private static final long CLEANUP_RETRY_MILLIS = 3000;

    private final HostProcess process;
    private final String key;
    private final ClaimRecord ownRecord;
    private final Claim claim;
    private volatile boolean answerStored;
    private Runnable onSend;
    private Consumer<ClaimRecord> onReplay;
    private Consumer<Refusal> onRefuse;

    ClaimDriver(HostProcess process, String caller, String idempotencyKey, String requestHash) {
        this.process = process;
        this.key = Keys.idempotencyClaim(
                caller,
                Fingerprint.of("key", idempotencyKey.getBytes(StandardCharsets.UTF_8))
                        .value());
        this.ownRecord = ClaimRecord.claimed(UUID.randomUUID().toString(), requestHash, System.currentTimeMillis());
        this.claim = new Claim(ownRecord);
    }

    /** Claims the call, then runs exactly one of the three callbacks on the control thread. */
    void begin(Runnable send, Consumer<ClaimRecord> replay, Consumer<Refusal> refuse) {
        onSend = send;
        onReplay = replay;
        onRefuse = refuse;
        perform(claim.firstStep());
    }

    /** Stores the call's answer, then runs the action, even if the write fails. May be called from any thread. */
    void storeAnswer(int status, Map<String, String> headers, byte[] body, Runnable onStored) {
        answerStored = true;
        ClaimRecord record = body.length <= MAX_STORED_BODY_BYTES
                ? ownRecord.answered(status, headers, body)
                : ownRecord.answerLost();
        Transaction write = Transaction.builder().put(key, Json.bytes(record)).build();
        process.keyValue().write(write).whenComplete((result, failure) -> {
            onStored.run();
            if (failure != null) {
                process.loop().execute(() -> writeWithRetries(write, MAX_CLEANUP_TRIES));
            }
        });
    }

    /**
     * Ends the claim of a call that is answered with a refusal. The key becomes free if the call did not run; if it may
     * have run, the record is marked as having lost its answer.
     */
    void abandon(Refusal refusal) {
        if (answerStored) {
            return;
        }
        if (!claim.isSent()) {
            deleteUnsentClaim(MAX_CLEANUP_TRIES);
            return;
        }
        Transaction.Builder write = Transaction.builder();
        if (refusal.outcome() == Outcome.NOT_RUN) {
            write.delete(key);
        } else {
            write.put(key, Json.bytes(ownRecord.answerLost()));
        }
        writeWithRetries(write.build(), MAX_CLEANUP_TRIES);
    }

    private void perform(ClaimStep step) {
        if (step instanceof ClaimStep.Create) {
            Transaction create = Transaction.builder()
                    .ifAbsent(key)
                    .put(key, Json.bytes(ownRecord))
                    .build();
            process.keyValue()
                    .write(create)
                    .whenComplete((result, failure) -> process.loop()
                            .execute(() -> perform(
                                    failure == null ? claim.onCreateResult(result.succeeded()) : claim.onNoAnswer())));
        } else if (step instanceof ClaimStep.Read) {
            process.keyValue()
                    .read(key)
                    .whenComplete((result, failure) -> process.loop()
                            .execute(() -> perform(
                                    failure == null
                                            ? claim.onReadResult(
                                                    parseRecord(result.first()), System.currentTimeMillis())
                                            : claim.onNoAnswer())));
        } else if (step instanceof ClaimStep.Send) {
            onSend.run();
        } else if (step instanceof ClaimStep.Replay replay) {
            onReplay.accept(replay.record());
        } else if (step instanceof ClaimStep.Refuse refuse) {
            onRefuse.accept(refuse.refusal());
        }
    }

    /**
     * Deletes the claim of a call that was never sent. A claim whose creation was not answered may exist; left in
     * place, it would cause every resend to be refused. It is deleted only if the record is this call's own.
     */
    private void deleteUnsentClaim(int triesLeft) {
        if (!claim.isUncertain() || triesLeft == 0) {
            return;
        }
        process.keyValue()
                .read(key)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    if (failure != null) {
                        process.loop().after(CLEANUP_RETRY_MILLIS, () -> deleteUnsentClaim(triesLeft - 1));
                        return;
                    }
                    Optional<KeyValueStore.Entry> entry = result.first();
                    boolean isOwn = parseRecord(entry)
                            .filter(record -> record.claimId().equals(ownRecord.claimId()))
                            .isPresent();
                    if (isOwn) {
                        writeWithRetries(
                                Transaction.builder()
                                        .ifRevisionIs(key, entry.orElseThrow().modRevision())
                                        .delete(key)
                                        .build(),
                                MAX_CLEANUP_TRIES);
                    }
                }));
    }

    private void writeWithRetries(Transaction write, int triesLeft) {
        process.keyValue().write(write).whenComplete((result, failure) -> {
            if (failure != null && triesLeft > 0) {
                process.loop().after(CLEANUP_RETRY_MILLIS, () -> writeWithRetries(write, triesLeft - 1));
            }
        });
    }

    private static Optional<ClaimRecord> parseRecord(Optional<KeyValueStore.Entry> entry) {
        return entry.flatMap(
                found -> Json.read(found.value(), ClaimRecord.class).toJavaOptional());
    }
}
