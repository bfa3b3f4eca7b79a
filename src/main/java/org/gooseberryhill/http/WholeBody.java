package org.gooseberryhill.http;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** A body that is collected up to a bound and handed on whole. Used by one traffic thread. */
public final class WholeBody implements HttpBody {
    private final int maxBytes;
    private final Consumer<byte[]> onWhole;
    private final Runnable onTooLarge;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private boolean tooLarge;

    /** Collects up to a number of bytes; a larger body is dropped and reported once. */
    public WholeBody(int maxBytes, Consumer<byte[]> onWhole, Runnable onTooLarge) {
        this.maxBytes = maxBytes;
        this.onWhole = onWhole;
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
            onWhole.accept(bytes.toByteArray());
        }
    }
}
