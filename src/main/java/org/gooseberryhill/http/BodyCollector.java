package org.gooseberryhill.http;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Collects a request body up to a maximum size and passes it on as a whole. Used by one event loop thread. */
public final class BodyCollector implements RequestBodyHandler {
    private final int maxBytes;
    private final Consumer<byte[]> onComplete;
    private final Runnable onTooLarge;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private boolean tooLarge;

    /**
     * Creates a collector.
     *
     * @param maxBytes the maximum size of the body; a larger one is discarded
     * @param onComplete receives the complete body
     * @param onTooLarge called once for a body that exceeds the maximum size
     */
    public BodyCollector(int maxBytes, Consumer<byte[]> onComplete, Runnable onTooLarge) {
        this.maxBytes = maxBytes;
        this.onComplete = onComplete;
        this.onTooLarge = onTooLarge;
    }

    @Override
    public void onBytes(byte[] part) {
        if (tooLarge) {
            return;
        }
        if (bytes.size() + part.length > maxBytes) {
            tooLarge = true;
            bytes.reset();
            onTooLarge.run();
            return;
        }
        bytes.writeBytes(part);
    }

    @Override
    public void onEnd() {
        if (!tooLarge) {
            onComplete.accept(bytes.toByteArray());
        }
    }
}
