package org.gooseberryhill.decision.memory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the held bytes below a bound: refuses above half of it, and closes connections above nine tenths. Immutable.
 *
 * <p>Load pattern: many callers that read slowly at once. Requests with small bodies from callers that read at normal speed
 * are served at each level that closing can end, since they are held for a moment only.
 */
public final class BoundedHeldBytes implements HeldBytesPolicy {
    /** A smaller body is received at once, so refusing it would free nothing. */
    static final long SMALL_BODY_BYTES = 16 * 1024;

    /**
     * The most that one answer writes at once, a page of a request batch: 700,000 characters of up to 3 bytes. A lower limit
     * would close connections whose callers read at normal speed.
     */
    static final int MIN_UNSENT_BYTES_PER_CONNECTION = 2_200_000;

    /** A connection that accepted no data for this time counts as stalled; pauses of a healthy caller are shorter. */
    static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int CONNECTION_SHARE = 16;
    private static final int REFUSING_BUFFERED_ANSWER_BYTES = 64 * 1024;

    /** Connections that accept nothing count as stalled by then, and are the first to be closed for others. */
    private static final long RETRY_AFTER_MILLIS = TimeUnit.NANOSECONDS.toMillis(STALLED_NANOS);

    private final long boundBytes;
    private final long refusingBytes;
    private final long closingBytes;

    /** Creates a policy with a bound in bytes. */
    public BoundedHeldBytes(long boundBytes) {
        this.boundBytes = boundBytes;
        this.refusingBytes = boundBytes / 2;
        this.closingBytes = boundBytes / 10 * 9;
    }

    @Override
    public long boundBytes() {
        return boundBytes;
    }

    @Override
    public int maxUnsentBytesPerConnection() {
        long share = Math.max(MIN_UNSENT_BYTES_PER_CONNECTION, boundBytes / CONNECTION_SHARE);
        return (int) Math.min(Integer.MAX_VALUE, share);
    }

    @Override
    public HeldBytesLevel level(long heldBytes) {
        if (heldBytes <= refusingBytes) {
            return HeldBytesLevel.NORMAL;
        }
        return heldBytes <= closingBytes ? HeldBytesLevel.REFUSING : HeldBytesLevel.CLOSING;
    }

    @Override
    public boolean refuses(long heldBytes, RequestDemand demand) {
        return switch (level(heldBytes)) {
            case NORMAL -> false;
            case REFUSING -> isHeld(demand);
            case CLOSING -> true;
        };
    }

    @Override
    public long retryAfterMillis() {
        return RETRY_AFTER_MILLIS;
    }

    @Override
    public int maxBufferedAnswerBytes(long heldBytes) {
        return level(heldBytes) == HeldBytesLevel.NORMAL
                ? UnboundedHeldBytes.MAX_BUFFERED_ANSWER_BYTES
                : REFUSING_BUFFERED_ANSWER_BYTES;
    }

    /**
     * Returns as few connections as bring the held bytes back to nine tenths of the bound. Stalled ones come first; among
     * these, and among the others, batch reads come before streams and streams before plain answers, the largest first.
     */
    @Override
    public <R extends SlowReader> List<R> connectionsToClose(long heldBytes, Collection<R> readers, long nowNanos) {
        if (level(heldBytes) != HeldBytesLevel.CLOSING) {
            return List.of();
        }
        List<Candidate<R>> candidates = new ArrayList<>(readers.size());
        readers.forEach(reader -> candidates.add(Candidate.of(reader, nowNanos)));
        candidates.sort(Candidate.CLOSING_ORDER);
        List<R> chosen = new ArrayList<>();
        long leftBytes = heldBytes;
        for (Candidate<R> candidate : candidates) {
            if (leftBytes <= closingBytes) {
                break;
            }
            chosen.add(candidate.reader);
            leftBytes -= candidate.unsentBytes;
        }
        return chosen;
    }

    private static boolean isHeld(RequestDemand demand) {
        return demand.callerReadsSlowly()
                || demand.answerKind() == AnswerKind.BATCH_READ
                || demand.bodyBytes().orElse(Long.MAX_VALUE) > SMALL_BODY_BYTES;
    }

    /** A reader with its figures at the time of the decision, so that the order does not change while it is sorted. */
    private record Candidate<R extends SlowReader>(
            R reader, boolean stalled, AnswerKind kind, long unsentBytes, long idleNanos) {
        static final Comparator<Candidate<?>> CLOSING_ORDER = Comparator.<Candidate<?>, Boolean>comparing(
                        candidate -> !candidate.stalled)
                .thenComparing(candidate -> candidate.kind)
                .thenComparing(Comparator.<Candidate<?>>comparingLong(candidate -> candidate.unsentBytes)
                        .reversed())
                .thenComparing(Comparator.<Candidate<?>>comparingLong(candidate -> candidate.idleNanos)
                        .reversed());

        static <R extends SlowReader> Candidate<R> of(R reader, long nowNanos) {
            long idleNanos = nowNanos - reader.acceptedDataNanos(nowNanos);
            return new Candidate<>(
                    reader, idleNanos >= STALLED_NANOS, reader.answerKind(), reader.unsentBytes(), idleNanos);
        }
    }
}
