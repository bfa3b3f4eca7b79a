package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Collects a response and how its exchange ended. Thread-safe. */
final class CollectedAnswer implements ExchangeListener {
    final CompletableFuture<Void> ended = new CompletableFuture<>();
    final CompletableFuture<ExchangeFailure> failed = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    String text() {
        return body.toString(StandardCharsets.US_ASCII);
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {}

    @Override
    public void onBytes(byte[] bytes) {
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        ended.complete(null);
        failed.completeExceptionally(new IllegalStateException("the exchange ended with a complete response"));
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        failed.complete(failure);
        ended.completeExceptionally(new ExchangeException(failure));
    }
}
