package org.gooseberryhill.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.gooseberryhill.http.Exchange;

/**
 * Fails an attempt whose endpoint is silent if another endpoint may continue the request; silence alone does not end an answer.
 * Confined to the control thread.
 *
 * <p>Bytes that have arrived but are not read yet do not count as silence, which the exchange checks before it fails.
 */
final class SilenceWatch {
    /** A resumable stream fails over after its endpoint has been silent for this time, if another one can take it. */
    private static final long SILENCE_TIMEOUT_MILLIS = 700;

    /** Delay before another endpoint for a silent stream is looked up again. */
    private static final long SILENCE_RECHECK_MILLIS = 100;

    private final GatewayContext context;
    private final Exchange exchange;
    private final BooleanSupplier inProgress;
    private final BooleanSupplier canFailOver;

    /**
     * Creates the watch of an attempt that has just been sent.
     *
     * @param inProgress tells whether the attempt is still in progress
     * @param canFailOver tells whether another endpoint can continue the request now
     */
    SilenceWatch(GatewayContext context, Exchange exchange, BooleanSupplier inProgress, BooleanSupplier canFailOver) {
        this.context = context;
        this.exchange = exchange;
        this.inProgress = inProgress;
        this.canFailOver = canFailOver;
    }

    void start() {
        checkAfter(SILENCE_TIMEOUT_MILLIS);
    }

    private void checkAfter(long millis) {
        context.loop().after(millis, this::check);
    }

    private void check() {
        if (!inProgress.getAsBoolean()) {
            return;
        }
        long lastActivityNanos = exchange.lastActivityNanos();
        long silentMillis = TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - lastActivityNanos);
        if (silentMillis < SILENCE_TIMEOUT_MILLIS) {
            checkAfter(SILENCE_TIMEOUT_MILLIS - silentMillis);
            return;
        }
        if (canFailOver.getAsBoolean()) {
            exchange.failIfSilentSince(lastActivityNanos);
        }
        checkAfter(SILENCE_RECHECK_MILLIS);
    }
}
