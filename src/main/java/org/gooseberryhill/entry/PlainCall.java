package org.gooseberryhill.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.idempotency.ClaimRecord;
import org.gooseberryhill.decision.online.OnlineRequestInfo;
import org.gooseberryhill.http.Exchange;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpCall;

/**
 * An online request to a plain service, which has no model: method, headers, body and status are forwarded unchanged,
 * except for headers that belong to one connection.
 *
 * <p>Invariant: a non-idempotent call with an idempotency key is sent only under its claim, and its answer is stored
 * before it is sent to the caller.
 */
final class PlainCall extends OnlineCall {
    /** Headers that belong to one connection and are not forwarded (RFC 9110, section 7.6.1). */
    private static final Set<String> CONNECTION_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "authorization",
            "expect");

    /** Above this number of bytes not yet written to the caller, reading from the endpoint pauses. */
    private static final int MAX_PENDING_BYTES = 1024 * 1024;

    /** Maximum size of the answer to a call with an idempotency key, which is buffered before it is forwarded. */
    private static final int MAX_BUFFERED_ANSWER_BYTES = 8 * 1024 * 1024;

    private final byte[] body;
    private final String target;
    private final Optional<ClaimDriver> claim;
    private volatile boolean streamStarted;

    PlainCall(
            EntryContext context,
            HttpCall call,
            OnlineRequestInfo requestInfo,
            String target,
            byte[] body,
            Optional<ClaimDriver> claim) {
        super(context, call, requestInfo);
        this.target = target;
        this.body = body;
        this.claim = claim;
    }

    @Override
    void prepare() {
        if (claim.isEmpty()) {
            proceed();
            return;
        }
        claim.get().begin(this::proceed, this::replay, this::endWithRefusal);
    }

    @Override
    Exchange startExchange(EndpointSettings endpoint, long attempt) {
        Map<String, String> headers = forwardedHeaders(call.headers());
        headers.put("x-request-id", requestInfo.id());
        ExchangeRequest request = new ExchangeRequest(
                endpoint.address(),
                call.method(),
                target,
                headers,
                body,
                context.settings().endpointSilenceMillis(),
                !requestInfo.idempotent());
        ExchangeListener listener =
                claim.isPresent() ? new BufferedAttempt(attempt) : new StreamedAttempt(endpoint, attempt);
        Exchange exchange = process().http().start(request, listener);
        if (listener instanceof StreamedAttempt streamed) {
            streamed.exchange = exchange;
        }
        return exchange;
    }

    @Override
    void refuse(Refusal refusal) {
        claim.ifPresent(driver -> driver.abandon(refusal));
        if (streamStarted) {
            call.abortStream();
        } else {
            ErrorResponse.reply(call, requestInfo.id(), refusal);
        }
    }

    private void replay(ClaimRecord record) {
        Map<String, String> headers = new LinkedHashMap<>(record.headers());
        headers.put("x-replayed", "true");
        replayAnswer(() -> call.reply(record.status(), headers, record.body()));
    }

    private static Map<String, String> forwardedHeaders(HttpHeaders headers) {
        Map<String, String> forwarded = new LinkedHashMap<>();
        headers.forEach(entry -> {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!CONNECTION_HEADERS.contains(name)) {
                forwarded.merge(name, entry.getValue(), (one, other) -> one + ", " + other);
            }
        });
        return forwarded;
    }

    /** An attempt whose answer is forwarded as it is received. Used by one traffic thread. */
    private final class StreamedAttempt implements ExchangeListener {
        private final EndpointSettings endpoint;
        private final long number;
        private final AtomicLong pendingBytes = new AtomicLong();
        private volatile Exchange exchange;

        StreamedAttempt(EndpointSettings endpoint, long number) {
            this.endpoint = endpoint;
            this.number = number;
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            // The caller now has a part of this answer. Another endpoint's answer may differ and can't continue it.
            markAnswerStarted();
            streamStarted = true;
            Map<String, String> forwarded = forwardedHeaders(headers);
            forwarded.put("x-request-id", requestInfo.id());
            forwarded.put("x-endpoint", endpoint.name());
            call.beginStream(status, forwarded);
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (pendingBytes.addAndGet(bytes.length) > MAX_PENDING_BYTES && exchange != null) {
                exchange.setAnswerReading(false);
            }
            call.write(bytes).whenComplete((done, failure) -> {
                if (pendingBytes.addAndGet(-bytes.length) <= MAX_PENDING_BYTES / 2 && exchange != null) {
                    exchange.setAnswerReading(true);
                }
            });
        }

        @Override
        public void onEnd() {
            attemptSucceeded(number, call::endStream);
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            attemptFailed(number, failure);
        }
    }

    /** An attempt whose answer is buffered and stored before it is forwarded. Used by one traffic thread. */
    private final class BufferedAttempt implements ExchangeListener {
        private final long number;
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private int status;
        private boolean tooLarge;
        private Map<String, String> headers = Map.of();

        BufferedAttempt(long number) {
            this.number = number;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders newHeaders) {
            status = newStatus;
            headers = forwardedHeaders(newHeaders);
            headers.remove("content-length");
            headers.put("x-request-id", requestInfo.id());
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (buffer.size() + bytes.length <= MAX_BUFFERED_ANSWER_BYTES) {
                buffer.writeBytes(bytes);
            } else {
                tooLarge = true;
            }
        }

        @Override
        public void onEnd() {
            if (tooLarge) {
                attemptFailed(
                        number,
                        new ExchangeFailure(
                                ExchangeFailure.Kind.MALFORMED, Outcome.MAY_HAVE_RUN, "the answer is too large"));
                return;
            }
            byte[] answer = buffer.toByteArray();
            claim.orElseThrow()
                    .storeAnswer(
                            status,
                            headers,
                            answer,
                            () -> attemptSucceeded(number, () -> call.reply(status, headers, answer)));
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            attemptFailed(number, failure);
        }
    }
}
