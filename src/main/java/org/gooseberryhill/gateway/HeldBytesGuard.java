package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.memory.AnswerKind;
import org.gooseberryhill.decision.memory.HeldBytesBound;
import org.gooseberryhill.decision.memory.HeldBytesLevel;
import org.gooseberryhill.decision.memory.RequestDemand;
import org.gooseberryhill.http.HeldBytes;
import org.gooseberryhill.http.HttpCall;

/**
 * Refuses callers' requests that the process may not hold. Thread-safe.
 *
 * <p>Load pattern: below half of the bound, a request costs one read of the count.
 */
final class HeldBytesGuard {
    private static final long BYTES_PER_MEGABYTE = 1024 * 1024;

    private final HeldBytes heldBytes;

    HeldBytesGuard(HeldBytes heldBytes) {
        this.heldBytes = heldBytes;
    }

    /** Creates the counts of a process with the given settings. */
    static HeldBytes newCounts(GatewaySettings settings) {
        long maxHeapBytes = Runtime.getRuntime().maxMemory();
        return new HeldBytes(HeldBytesBound.policy(settings.memoryLimitBytes(), maxHeapBytes));
    }

    /** Returns the refusal of a request of which only the head has arrived, if it is refused. */
    Optional<Refusal> refusal(HttpCall call, AnswerKind answerKind) {
        long bytes = heldBytes.bytes();
        if (heldBytes.policy().level(bytes) == HeldBytesLevel.NORMAL) {
            return Optional.empty();
        }
        RequestDemand demand = new RequestDemand(answerKind, bodyBytes(call.headers()), call.hasUnsentAnswer());
        if (!heldBytes.policy().refuses(bytes, demand)) {
            return Optional.empty();
        }
        heldBytes.countRefusal(false);
        return Optional.of(refusalAt(bytes));
    }

    /** Returns whether the process may hold more of a body that is being received. */
    boolean mayHoldMore() {
        return heldBytes.level() != HeldBytesLevel.CLOSING;
    }

    /** Returns the refusal of a request whose body is discarded before it is complete. */
    Refusal bodyRefusal() {
        heldBytes.countRefusal(true);
        return refusalAt(heldBytes.bytes());
    }

    /** Returns the length of a body that a head announces; empty if it arrives in chunks. */
    static OptionalLong bodyBytes(HttpHeaders headers) {
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return OptionalLong.empty();
        }
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        try {
            return OptionalLong.of(length == null ? 0 : Long.parseLong(length.strip()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private Refusal refusalAt(long bytes) {
        return Refusal.notRun(
                ErrorCode.OVERLOADED,
                "this host holds " + bytes / BYTES_PER_MEGABYTE + " of "
                        + heldBytes.policy().boundBytes() / BYTES_PER_MEGABYTE + " MB for slow readers",
                heldBytes.policy().retryAfterMillis());
    }
}
