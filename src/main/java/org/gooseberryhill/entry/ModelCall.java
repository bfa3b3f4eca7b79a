package org.gooseberryhill.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.configuration.ServiceSettings;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.online.OnlineRequestInfo;
import org.gooseberryhill.http.EventStreamReader;
import org.gooseberryhill.http.Exchange;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.link.Json;

/**
 * An online request to a model. If an endpoint fails during a streamed answer, another endpoint resumes it after the
 * last complete token.
 *
 * <p>Invariant: a streamed answer ends normally only after the endpoint's end mark. Otherwise it ends with an error
 * event and a closed connection, so that the caller can't mistake a truncated answer for a complete one.
 */
final class ModelCall extends OnlineCall {
    private static final int MAX_BUFFERED_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int OK = 200;

    private final byte[] body;
    private final ServiceSettings service;
    private volatile boolean streamStarted;
    private volatile int tokensForwarded;

    /** Time of the latest token, or of the start of the request while there is none. */
    private volatile long lastTokenNanos;

    ModelCall(
            EntryContext context, HttpCall call, OnlineRequestInfo requestInfo, ServiceSettings service, byte[] body) {
        super(context, call, requestInfo);
        this.service = service;
        this.body = body;
        this.lastTokenNanos = startNanos;
    }

    @Override
    Exchange startExchange(EndpointSettings endpoint, long attempt) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "application/json");
        headers.put("x-request-id", requestInfo.id());
        if (tokensForwarded > 0) {
            headers.put("x-resume-from", Integer.toString(tokensForwarded));
        }
        ExchangeRequest request = new ExchangeRequest(
                endpoint.address(),
                call.method(),
                call.path(),
                headers,
                body,
                context.settings().endpointSilenceMillis(),
                false);
        return process().http().start(request, new Attempt(endpoint, attempt));
    }

    @Override
    void refuse(Refusal refusal) {
        if (!streamStarted) {
            ErrorResponse.reply(call, requestInfo.id(), refusal);
            return;
        }
        String event = "data: " + Json.text(ErrorResponse.body(requestInfo.id(), refusal)) + "\n\n";
        call.write(event.getBytes(StandardCharsets.UTF_8)).whenComplete((done, failure) -> call.abortStream());
    }

    private Map<String, String> answerHeaders(String contentType, String endpoint) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", contentType);
        headers.put("x-request-id", requestInfo.id());
        headers.put("x-endpoint", endpoint);
        return headers;
    }

    /** Handles the answer to one attempt. Used by one traffic thread. */
    private final class Attempt implements ExchangeListener {
        private final EndpointSettings endpoint;
        private final long number;
        private final EventStreamReader events = new EventStreamReader();
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private int status;
        private String contentType = "application/json";
        private boolean streamed;
        private boolean endMarkReceived;
        private boolean tooLarge;
        private byte[] endMarkEvent = new byte[0];
        private int latencySamples;
        private int latencySamplesBeyondTarget;

        Attempt(EndpointSettings endpoint, long number) {
            this.endpoint = endpoint;
            this.number = number;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders headers) {
            status = newStatus;
            contentType = headers.get("content-type", contentType);
            streamed = status == OK && contentType.startsWith("text/event-stream");
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (streamed) {
                events.read(bytes, this::forward);
            } else if (buffer.size() + bytes.length <= MAX_BUFFERED_ANSWER_BYTES) {
                buffer.writeBytes(bytes);
            } else {
                tooLarge = true;
            }
        }

        @Override
        public void onEnd() {
            flushLatencySamples();
            if (streamed && endMarkReceived) {
                attemptSucceeded(number, () -> {
                    call.write(endMarkEvent);
                    call.endStream();
                });
                return;
            }
            boolean unusable = tooLarge || streamed || status >= FIRST_SERVER_ERROR || streamStarted;
            if (unusable) {
                String detail = streamed ? "the stream ended without its end mark" : "status " + status;
                ExchangeFailure.Kind kind = ExchangeFailure.Kind.MALFORMED;
                attemptFailed(number, new ExchangeFailure(kind, Outcome.MAY_HAVE_RUN, detail));
                return;
            }
            byte[] answer = buffer.toByteArray();
            attemptSucceeded(number, () -> call.reply(status, answerHeaders(contentType, endpoint.name()), answer));
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            flushLatencySamples();
            attemptFailed(number, failure);
        }

        private void forward(byte[] event, String token, boolean isEndMark) {
            if (!streamStarted) {
                streamStarted = true;
                call.beginStream(OK, answerHeaders(contentType, endpoint.name()));
                context.metrics()
                        .firstByteReceived(
                                requestInfo.service(),
                                (nowNanos() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1));
            }
            if (isEndMark) {
                endMarkReceived = true;
                endMarkEvent = event;
                return;
            }
            call.write(event);
            if (!token.isEmpty()) {
                recordLatencySample();
                tokensForwarded++;
            }
        }

        private void recordLatencySample() {
            long now = nowNanos();
            long targetMillis =
                    tokensForwarded == 0 ? service.firstTokenTargetMillis() : service.betweenTokensTargetMillis();
            latencySamples++;
            if (now - lastTokenNanos > TimeUnit.MILLISECONDS.toNanos(targetMillis)) {
                latencySamplesBeyondTarget++;
            }
            lastTokenNanos = now;
        }

        private void flushLatencySamples() {
            int count = latencySamples;
            int countBeyondTarget = latencySamplesBeyondTarget;
            latencySamples = 0;
            latencySamplesBeyondTarget = 0;
            if (count > 0) {
                process()
                        .loop()
                        .execute(() -> context.traffic()
                                .tailLatency()
                                .recordSamples(endpoint.name(), count, countBeyondTarget));
            }
        }
    }
}
