package org.gooseberryhill.http;

import java.io.ByteArrayOutputStream;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Collects a request body up to a maximum size and passes it on as a whole. Used by one event loop thread. */
public final class BodyCollector implements RequestBodyHandler {
    private final int maxBytes;
    private final Consumer<byte[]> onComplete;
    private final Runnable onTooLarge;
    private ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final BooleanSupplier mayHoldMore;
    private final Runnable onNotHeld;
    private boolean discarded;

    /**
     * Creates a collector.
     *
     * @param maxBytes the maximum size of the body; a larger one is discarded
     * @param onComplete receives the complete body
     * @param onTooLarge called once for a body that exceeds the maximum size
     */
    public BodyCollector(int maxBytes, Consumer<byte[]> onComplete, Runnable onTooLarge) {
        this(maxBytes, onComplete, onTooLarge, () -> true, () -> {});
    }

    /**
     * Creates a collector that gives up when the process may hold no more bytes.
     *
     * @param maxBytes the maximum size of the body; a larger one is discarded
     * @param onComplete receives the complete body
     * @param onTooLarge called once for a body that exceeds the maximum size
     * @param mayHoldMore whether the process may hold the next part of the body
     * @param onNotHeld called once for a body that is discarded because the process may not hold it
     */
    public BodyCollector(
            int maxBytes,
            Consumer<byte[]> onComplete,
            Runnable onTooLarge,
            BooleanSupplier mayHoldMore,
            Runnable onNotHeld) {
        this.mayHoldMore = mayHoldMore;
        this.onNotHeld = onNotHeld;
        this.maxBytes = maxBytes;
        this.onComplete = onComplete;
        this.onTooLarge = onTooLarge;
    }

    @Override
    public void onBytes(byte[] part) {
        if (discarded) {
            return;
        }
        if (bytes.size() + part.length > maxBytes) {
            discard(onTooLarge);
        } else if (!mayHoldMore.getAsBoolean()) {
            discard(onNotHeld);
        } else {
            bytes.writeBytes(part);
        }
    }

    @Override
    public void onEnd() {
        if (!discarded) {
            onComplete.accept(bytes.toByteArray());
        }
    }

    private void discard(Runnable notification) {
        discarded = true;
        // A new buffer, since a reset one keeps its array.
        bytes = new ByteArrayOutputStream(0);
        notification.run();
    }
}
