package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.EventPace;
import org.gooseberryhill.dialect.TrafficDialect;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.http.BodyFraming;
import org.gooseberryhill.http.EventSplitter;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;
import org.gooseberryhill.http.ForwardedHeaders;
import org.gooseberryhill.http.HeldBytes;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.MalformedAnswerException;
import org.gooseberryhill.http.StreamEvent;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;

/**
 * Relays the answers of a request's attempts to its caller as one answer. Runs on one traffic thread unless stated
 * otherwise.
 *
 * <p>Invariants: an answer that is not streamed and fits the buffer is relayed only when all of it has arrived; of a
 * stream only complete events are relayed, each once; a stream ends normally only if its endpoint ended it normally,
 * after a complete event.
 */
final class AnswerRelay {
    private static final int OK = 200;
    private static final int FIRST_NON_SUCCESS = 300;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int MISDIRECTED = 421;

    /** An error and what is no answer of an endpoint are short, and are relayed only as a whole or not at all. */
    private static final int MAX_WHOLE_ANSWER_BYTES = 256 * 1024;

    private static final ByteArrayOutputStream NOTHING_COLLECTED = new ByteArrayOutputStream(0);

    private final HttpCall call;
    private final Route route;
    private final TrafficDialect dialect;
    private final HeldBytes heldBytes;
    private long countedBytes;
    private volatile Optional<Long> lastEventId;
    private volatile boolean started;

    AnswerRelay(HttpCall call, Route route, TrafficDialect dialect, Optional<Long> lastEventId, HeldBytes heldBytes) {
        this.heldBytes = heldBytes;
        this.call = call;
        this.route = route;
        this.dialect = dialect;
        this.lastEventId = lastEventId;
    }

    /** Returns whether a part of the answer has been sent to the caller. May be called from any thread. */
    boolean isStarted() {
        return started;
    }

    /** Returns the id of the last event that the caller has received. May be called from any thread. */
    Optional<Long> lastEventId() {
        return lastEventId;
    }

    /** Creates a listener for the answer of an attempt at an endpoint of the given version. */
    AttemptListener newAttemptListener(RoutedCall routedCall, long attemptNumber, ServiceVersion version) {
        return new AttemptListener(routedCall, attemptNumber, version);
    }

    /** Counts what is collected of the answer, which the call releases at its end. */
    private void countCollected(long bytes) {
        if (bytes != countedBytes) {
            countedBytes = bytes;
            call.setBufferedAnswerBytes(bytes);
        }
    }

    /** Relays the answer of one attempt. */
    final class AttemptListener implements ExchangeListener {
        private final RoutedCall routedCall;
        private final long attemptNumber;
        private final ServiceVersion version;
        private final EventSplitter eventSplitter = new EventSplitter();
        private ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private final EventPace pace = new EventPace();
        private int status;
        private HttpHeaders headers;
        private boolean streamed;
        private boolean passedThrough;
        private boolean fromEndpoint;
        private boolean hasEvents;

        AttemptListener(RoutedCall routedCall, long attemptNumber, ServiceVersion version) {
            this.routedCall = routedCall;
            this.attemptNumber = attemptNumber;
            this.version = version;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders newHeaders) {
            status = newStatus;
            headers = newHeaders;
            countCollected(0);
            fromEndpoint = dialect.isFromEndpoint(status, headers);
            streamed = fromEndpoint && route.kind() == RouteKind.STREAM && status == OK;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (streamed) {
                relayEvents(eventSplitter.read(bytes));
                countCollected(eventSplitter.remainderBytes());
            } else if (passedThrough) {
                call.write(bytes);
            } else {
                collect(bytes);
            }
        }

        /**
         * Collects the answer. A large one is relayed as it arrives, since memory is limited; after that the caller can't be
         * sent the answer of another attempt.
         */
        private void collect(byte[] bytes) {
            if (!isFinal() && buffer.size() + bytes.length > MAX_WHOLE_ANSWER_BYTES) {
                throw new MalformedAnswerException(
                        "status " + status + " with more than " + MAX_WHOLE_ANSWER_BYTES + " bytes");
            }
            buffer.writeBytes(bytes);
            countCollected(buffer.size());
            if (buffer.size() > heldBytes.policy().maxBufferedAnswerBytes(heldBytes.bytes()) && isFinal()) {
                passedThrough = true;
                startAnswer();
                byte[] collected = buffer.toByteArray();
                buffer = NOTHING_COLLECTED;
                countCollected(0);
                call.write(collected);
            }
        }

        @Override
        public boolean provesEndOfRun() {
            if (streamed) {
                return !eventSplitter.isInsideEvent();
            }
            boolean success = status < FIRST_NON_SUCCESS;
            return success ? fromEndpoint : dialect.requestId(headers).isPresent();
        }

        @Override
        public void onEnd() {
            if (streamed) {
                endStream();
            } else if (passedThrough) {
                call.endStream();
                attemptSucceeded();
            } else {
                endBuffered();
            }
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            attemptFailed(attemptEnd(failure), failure.detail(), Optional.empty());
        }

        private void endStream() {
            if (eventSplitter.isInsideEvent()) {
                AttemptEnd end = framing() == BodyFraming.CONNECTION_CLOSE ? AttemptEnd.CUT : AttemptEnd.MALFORMED;
                attemptFailed(end, "the stream ended inside an event", Optional.empty());
                return;
            }
            // A connection that closes before any event proves nothing: the endpoint may have been lost.
            if (!hasEvents && framing() == BodyFraming.CONNECTION_CLOSE) {
                attemptFailed(AttemptEnd.CUT, "the connection closed before the first event", Optional.empty());
                return;
            }
            byte[] rest = eventSplitter.remainder();
            startAnswer();
            if (rest.length > 0) {
                call.write(rest);
            }
            call.endStream();
            attemptSucceeded();
        }

        private void endBuffered() {
            CompleteAnswer answer =
                    new CompleteAnswer(status, ForwardedHeaders.ofAnswer(headers), buffer.toByteArray());
            if (dialect.isNotRun(status, headers)) {
                AttemptEnd end = status == MISDIRECTED ? AttemptEnd.OTHER_ENDPOINT : AttemptEnd.BUSY;
                attemptFailed(end, "status " + status + unstated(), Optional.empty());
            } else if (!fromEndpoint) {
                attemptFailed(AttemptEnd.MALFORMED, "not signed, status " + status + unstated(), Optional.empty());
            } else if (started) {
                // The caller has received a part of a stream that this endpoint did not continue.
                attemptFailed(AttemptEnd.MALFORMED, "status " + status, Optional.empty());
            } else if (dialect.promisesNotRun(status)) {
                // The caller would take the status for the endpoint's word that the request has not run.
                attemptFailed(
                        AttemptEnd.ERROR_ANSWER,
                        "status " + status + " of a request that may have run",
                        Optional.empty());
            } else if (status >= FIRST_SERVER_ERROR) {
                attemptFailed(AttemptEnd.ERROR_ANSWER, "status " + status, Optional.of(answer));
            } else {
                call.reply(answer.status(), answer.headers(), answer.body());
                attemptSucceeded();
            }
        }

        private void attemptSucceeded() {
            routedCall.attemptSucceeded(attemptNumber, status, progress());
        }

        private void attemptFailed(AttemptEnd end, String detail, Optional<CompleteAnswer> answer) {
            routedCall.attemptFailed(attemptNumber, end, detail, progress(), answer);
        }

        /** Returns what logs add if the answer does not state its request. */
        private String unstated() {
            return dialect.requestId(headers).isPresent() ? "" : " without a request id";
        }

        private BodyFraming framing() {
            return BodyFraming.of(status, headers);
        }

        private AnswerProgress progress() {
            return new AnswerProgress(
                    headers == null ? Optional.empty() : Optional.of(status),
                    headers == null ? Optional.empty() : Optional.of(framing()),
                    lastEventId,
                    eventSplitter.remainderBytes(),
                    pace.eventNanos());
        }

        /** Writes events that arrived together in one call, since each write costs a system call. */
        private void relayEvents(List<StreamEvent> arrived) {
            if (!arrived.isEmpty()) {
                hasEvents = true;
                pace.arrived(arrived.size(), System.nanoTime());
            }
            List<StreamEvent> unseen =
                    arrived.stream().filter(this::recordIfNew).toList();
            if (unseen.isEmpty()) {
                return;
            }
            startAnswer();
            call.write(concatenate(unseen));
        }

        private boolean recordIfNew(StreamEvent event) {
            Optional<Long> id = event.id();
            boolean seen = id.isPresent() && lastEventId.isPresent() && id.get() <= lastEventId.get();
            if (!seen && id.isPresent()) {
                lastEventId = id;
            }
            return !seen;
        }

        private static byte[] concatenate(List<StreamEvent> streamEvents) {
            if (streamEvents.size() == 1) {
                return streamEvents.get(0).raw();
            }
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            streamEvents.forEach(event -> joined.writeBytes(event.raw()));
            return joined.toByteArray();
        }

        private void startAnswer() {
            if (started) {
                return;
            }
            started = true;
            HttpHeaders answerHeaders = ForwardedHeaders.ofAnswer(headers);
            if (streamed) {
                // The length of this endpoint's part: another endpoint may have to continue the stream.
                answerHeaders.remove(HttpHeaderNames.CONTENT_LENGTH);
            }
            call.beginStream(status, answerHeaders);
            routedCall.answerStarted(version);
        }

        private boolean isFinal() {
            return !started
                    && fromEndpoint
                    && status < FIRST_SERVER_ERROR
                    && !dialect.isNotRun(status, headers)
                    && !dialect.promisesNotRun(status);
        }

        private AttemptEnd attemptEnd(ExchangeFailure failure) {
            if (failure.outcome() == Outcome.NOT_RUN) {
                return AttemptEnd.UNREACHABLE;
            }
            return switch (failure.kind()) {
                case MALFORMED -> AttemptEnd.MALFORMED;
                case SILENT -> AttemptEnd.SILENT;
                default -> AttemptEnd.CUT;
            };
        }
    }
}
