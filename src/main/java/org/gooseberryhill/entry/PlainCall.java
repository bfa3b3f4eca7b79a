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
import org.gooseberryhill.decision.online.OnlineIntake;
import org.gooseberryhill.http.Exchange;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpCall;

/**
 * An online request to a plain service: method, headers, body and status are forwarded unchanged, except for headers
 * that belong to one connection.
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

    private static final int MAX_WAITING_BYTES = 1024 * 1024;

    /** The largest answer of a call with an idempotency key, which is buffered before it is forwarded. */
    private static final int MAX_KEPT_ANSWER_BYTES = 8 * 1024 * 1024;

    private final byte[] body;
    private final String target;
    private final Optional<ClaimDriver> claim;
    private volatile boolean streamBegun;

    PlainCall(
            EntryContext context,
            HttpCall call,
            OnlineIntake intake,
            String target,
            byte[] body,
            Optional<ClaimDriver> claim) {
        super(context, call, intake);
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
        claim.get().begin(this::proceed, this::replay, this::giveUp);
    }

    @Override
    Exchange startExchange(EndpointSettings endpoint, long attempt) {
        Map<String, String> headers = passedOn(call.headers());
        headers.put("x-request-id", intake.id());
        ExchangeRequest request = new ExchangeRequest(
                endpoint.address(),
                call.method(),
                target,
                headers,
                body,
                context.settings().endpointSilenceMillis(),
                !intake.idempotent());
        ExchangeListener listener =
                claim.isPresent() ? new KeptAttempt(attempt) : new StreamedAttempt(endpoint, attempt);
        Exchange exchange = process().http().start(request, listener);
        if (listener instanceof StreamedAttempt streamed) {
            streamed.exchange = exchange;
        }
        return exchange;
    }

    @Override
    void refuse(Refusal refusal) {
        claim.ifPresent(driver -> driver.gaveUp(refusal));
        if (streamBegun) {
            call.abortStream();
        } else {
            ErrorForm.reply(call, intake.id(), refusal);
        }
    }

    private void replay(ClaimRecord record) {
        Map<String, String> headers = new LinkedHashMap<>(record.headers());
        headers.put("x-replayed", "true");
        attemptReplayed(() -> call.reply(record.status(), headers, record.body()));
    }

    private static Map<String, String> passedOn(HttpHeaders headers) {
        Map<String, String> passed = new LinkedHashMap<>();
        headers.forEach(entry -> {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!CONNECTION_HEADERS.contains(name)) {
                passed.merge(name, entry.getValue(), (one, other) -> one + ", " + other);
            }
        });
        return passed;
    }

    /** An attempt whose answer is forwarded as it is received. Used by one traffic thread. */
    private final class StreamedAttempt implements ExchangeListener {
        private final EndpointSettings endpoint;
        private final long number;
        private final AtomicLong waitingBytes = new AtomicLong();
        private volatile Exchange exchange;

        StreamedAttempt(EndpointSettings endpoint, long number) {
            this.endpoint = endpoint;
            this.number = number;
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            // The caller now has a part of this answer. Another endpoint's answer may differ and can't continue it.
            answerStarted();
            streamBegun = true;
            Map<String, String> passed = passedOn(headers);
            passed.put("x-request-id", intake.id());
            passed.put("x-endpoint", endpoint.name());
            call.beginStream(status, passed);
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (waitingBytes.addAndGet(bytes.length) > MAX_WAITING_BYTES && exchange != null) {
                exchange.readAnswer(false);
            }
            call.write(bytes).whenComplete((done, failure) -> {
                if (waitingBytes.addAndGet(-bytes.length) <= MAX_WAITING_BYTES / 2 && exchange != null) {
                    exchange.readAnswer(true);
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
    private final class KeptAttempt implements ExchangeListener {
        private final long number;
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private int status;
        private boolean tooLarge;
        private Map<String, String> headers = Map.of();

        KeptAttempt(long number) {
            this.number = number;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders newHeaders) {
            status = newStatus;
            headers = passedOn(newHeaders);
            headers.remove("content-length");
            headers.put("x-request-id", intake.id());
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (buffer.size() + bytes.length <= MAX_KEPT_ANSWER_BYTES) {
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
                    .answered(
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
