package org.gooseberryhill.external;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.gooseberryhill.http.Exchange;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;

/** A client of an etcd v3 service over its published HTTP/JSON mapping. Thread-safe. */
public final class EtcdKeyValueStore implements StreamingKeyValueStore {
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int WATCH_SILENCE_TIMEOUT_MILLIS = 600_000;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final int KEYS_PER_PAGE = 500;
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    private final HttpClient client;
    private final Address address;
    private final int timeoutMillis;
    private final LongAdder calls = new LongAdder();

    /**
     * Creates a client of the key-value store at an address; a call that gets no response fails after the timeout in
     * milliseconds.
     */
    public EtcdKeyValueStore(HttpClient client, Address address, int timeoutMillis) {
        this.client = client;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public long callCount() {
        return calls.sum();
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return call("/v3/kv/range", Json.object().put("key", EtcdJson.encode(key)))
                .thenApply(EtcdJson::decodeReadResult);
    }

    @Override
    public CompletableFuture<Long> readRevision(String key) {
        return call(
                        "/v3/kv/range",
                        Json.object().put("key", EtcdJson.encode(key)).put("keys_only", true))
                .thenApply(answer -> EtcdJson.decodeReadResult(answer)
                        .first()
                        .map(Entry::modRevision)
                        .orElse(0L));
    }

    @Override
    public CompletableFuture<ReadResult> readPrefix(String prefix, String fromKey, int limit) {
        ObjectNode body = Json.object()
                .put("key", EtcdJson.encode(fromKey))
                .put("range_end", EtcdJson.encodeRangeEnd(prefix))
                .put("limit", Integer.toString(limit));
        return call("/v3/kv/range", body).thenApply(EtcdJson::decodeReadResult);
    }

    @Override
    public CompletableFuture<Listing> list(String prefix, boolean mayBeStale) {
        return listPage(prefix, prefix, new ArrayList<>(), Long.MAX_VALUE);
    }

    @Override
    public CompletableFuture<WriteResult> write(Transaction transaction) {
        return call("/v3/kv/txn", EtcdJson.encodeTransaction(transaction))
                .thenApply(answer ->
                        new WriteResult(answer.path("succeeded").asBoolean(false), EtcdJson.revision(answer)));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
        long seconds = Math.max(1, ttlMillis / MILLIS_PER_SECOND);
        ObjectNode body = Json.object().put("TTL", Long.toString(seconds)).put("ID", "0");
        return call("/v3/lease/grant", body)
                .thenApply(answer -> answer.path("ID").asLong());
    }

    @Override
    public CompletableFuture<Long> renewLease(long leaseId) {
        return call("/v3/lease/keepalive", Json.object().put("ID", Long.toString(leaseId)))
                .thenApply(answer -> answer.path("result").path("TTL").asLong(0) * MILLIS_PER_SECOND);
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        return call("/v3/lease/revoke", Json.object().put("ID", Long.toString(leaseId)))
                .thenApply(answer -> null);
    }

    @Override
    public Closeable watch(String prefix, long fromRevision, WatchListener listener) {
        ObjectNode body = Json.object();
        body.putObject("create_request")
                .put("key", EtcdJson.encode(prefix))
                .put("range_end", EtcdJson.encodeRangeEnd(prefix))
                .put("start_revision", Long.toString(fromRevision));
        calls.increment();
        Exchange exchange = client.start(
                request("/v3/watch", Json.bytes(body), WATCH_SILENCE_TIMEOUT_MILLIS),
                new WatchResponseListener(listener));
        return exchange::cancel;
    }

    @Override
    public void close() {
        // The HTTP client that was passed in owns the connections.
    }

    private CompletableFuture<Listing> listPage(
            String prefix, String fromKey, List<KeyChange> changes, long oldestRevision) {
        return readPrefix(prefix, fromKey, KEYS_PER_PAGE).thenCompose(page -> {
            page.entries()
                    .forEach(entry -> changes.add(KeyChange.written(entry.key(), entry.value(), entry.modRevision())));
            // The pages together are not a snapshot. The listing gets the oldest of their revisions, so that changes
            // made after the first page was read are read again as later changes.
            long revision = Math.min(oldestRevision, page.revision());
            if (!page.more() || page.entries().isEmpty()) {
                return CompletableFuture.completedFuture(new Listing(revision, changes));
            }
            return listPage(prefix, changes.get(changes.size() - 1).key() + "\0", changes, revision);
        });
    }

    private CompletableFuture<JsonNode> call(String path, ObjectNode body) {
        calls.increment();
        return client.call(request(path, Json.bytes(body), timeoutMillis), MAX_RESPONSE_BYTES)
                .handle((result, failure) -> {
                    if (failure != null) {
                        throw new ExternalServiceException("key-value store: " + failure.getMessage());
                    }
                    return requireSuccess(result);
                });
    }

    private ExchangeRequest request(String path, byte[] body, int silenceTimeoutMillis) {
        return new ExchangeRequest(address, "POST", path, JSON_HEADERS, body, silenceTimeoutMillis, false);
    }

    private static JsonNode requireSuccess(HttpResult result) {
        if (!result.isSuccess()) {
            throw new ExternalServiceException("key-value store: status " + result.status());
        }
        return Json.tree(result.body())
                .getOrElseThrow(failure -> new ExternalServiceException("key-value store: " + failure.getMessage()));
    }

    /** Splits the response stream of a watch into lines and handles each of them. Used by one traffic thread only. */
    private static final class WatchResponseListener implements ExchangeListener {
        private final WatchListener listener;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private final AtomicBoolean ended = new AtomicBoolean();

        WatchResponseListener(WatchListener listener) {
            this.listener = listener;
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            if (status != 200) {
                end();
            }
        }

        @Override
        public void onBytes(byte[] bytes) {
            for (byte next : bytes) {
                if (next == '\n') {
                    handleLine(line.toByteArray());
                    line.reset();
                } else {
                    line.write(next);
                }
            }
        }

        @Override
        public void onEnd() {
            end();
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            end();
        }

        private void handleLine(byte[] json) {
            JsonNode result = Json.tree(json).map(node -> node.path("result")).getOrElse(Json.object());
            if (result.path("canceled").asBoolean(false)) {
                end();
                return;
            }
            for (JsonNode event : result.path("events")) {
                listener.onChange(EtcdJson.decodeText(event.path("kv").path("key")), EtcdJson.decodeEvent(event));
            }
        }

        private void end() {
            if (ended.compareAndSet(false, true)) {
                listener.onEnd();
            }
        }
    }
}
