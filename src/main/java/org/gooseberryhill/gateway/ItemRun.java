package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.ItemProgress;
import org.gooseberryhill.decision.requestbatch.PlacedItem;
import org.gooseberryhill.decision.requestbatch.RunEnd;
import org.gooseberryhill.decision.requestbatch.RunVersionCheck;
import org.gooseberryhill.dialect.AttemptMetadata;
import org.gooseberryhill.dialect.TrafficDialect;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.http.BodyFraming;
import org.gooseberryhill.http.EventSplitter;
import org.gooseberryhill.http.Exchange;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;
import org.gooseberryhill.http.ExchangeOptions;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.MalformedAnswerException;
import org.gooseberryhill.http.StreamEvent;

/**
 * One run of an item at an endpoint. Decisions are made on the control thread; stream events arrive on a traffic thread
 * and are queued until the control thread processes them.
 *
 * <p>Invariants: the run ends once; events that arrive after its end have no effect. The item gets no event while {@link RunVersionCheck}
 * waits for its version, and none of another version than the run started at.
 */
final class ItemRun implements ExchangeListener {
    private static final int OK = 200;
    private static final int FIRST_NON_SUCCESS = 300;
    private static final int MISDIRECTED = 421;
    private static final int UNPROCESSABLE = 422;
    private static final int SERVER_ERROR = 500;

    /** Longer than any pause of a working endpoint that has many requests queued ahead of this one. */
    private static final int SILENCE_TIMEOUT_MILLIS = 3000;

    /** An answer that is no output ends the run by its status; sound ones are short. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    /** Maximum size of the events of an item, which are kept in memory until its result is stored. */
    private static final int MAX_OUTPUT_BYTES = 2 * 1024 * 1024;

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Nobody waits for a single event of an item; its end is noticed half of this later on average. */
    private static final int READ_PERIOD_MILLIS = 200;

    private final GatewayContext context;
    private final BatchRunner runner;
    private final PlacedItem placed;
    private final ItemProgress item;
    private final EventSplitter eventSplitter = new EventSplitter();
    private final Queue<StreamEvent> queuedEvents = new ConcurrentLinkedQueue<>();
    private final RunVersionCheck versionCheck;
    private Optional<HeldEnd> heldEnd = Optional.empty();
    private Exchange exchange;
    private boolean ended;
    private int status;
    private HttpHeaders headers;
    private boolean fromEndpoint;
    private int discardedBytes;
    private int outputBytes;

    ItemRun(GatewayContext context, BatchRunner runner, PlacedItem placed) {
        this.context = context;
        this.runner = runner;
        this.placed = placed;
        this.item = placed.item();
        this.versionCheck = new RunVersionCheck(placed.endpoint());
    }

    /** Starts the run. Called on the control thread. */
    void start() {
        outputBytes = item.characterCount();
        HttpHeaders request = submittedHeaders(item.item());
        request.set(HttpHeaderNames.HOST, placed.batch().record().host());
        AttemptMetadata metadata = new AttemptMetadata(
                placed.endpoint().id(),
                OptionalLong.empty(),
                item.lastEventId(),
                Optional.of(item.item().id()),
                runner.attribution(placed.batch().record()));
        context.dialects().traffic().addAttemptMetadata(request, metadata);
        ExchangeOptions options = new ExchangeOptions(
                SILENCE_TIMEOUT_MILLIS,
                CONNECT_TIMEOUT_MILLIS,
                Integer.MAX_VALUE,
                true,
                new RequestIdMatcher(context.dialects().traffic(), item.item().id()),
                READ_PERIOD_MILLIS);
        exchange = context.http()
                .start(
                        new ExchangeRequest(
                                placed.endpoint().address(),
                                "POST",
                                item.item().path(),
                                request,
                                item.item().body(),
                                options),
                        this);
    }

    /** Returns the prompt of an item, if it has one. May be called from any thread. */
    static Optional<Prompt> prompt(TrafficDialect dialect, BatchItem item) {
        return dialect.parseRequest(submittedHeaders(item)).prompt();
    }

    private static HttpHeaders submittedHeaders(BatchItem item) {
        HttpHeaders headers = new DefaultHttpHeaders();
        item.headers().forEach(headers::set);
        return headers;
    }

    /** Applies registrations that hold now or held since the last call. */
    void endpointsChanged(Collection<EndpointEntry> entries) {
        versionCheck.endpointsChanged(entries);
    }

    /**
     * Processes the queued events, and an end that was held back until their version is known. Called on the control thread,
     * which polls because waking it for each event costs more than processing the event.
     */
    void processQueuedEvents() {
        if (queuedEvents.isEmpty()) {
            return;
        }
        versionCheck.outputSeen(context.nowNanos());
        switch (versionCheck.finding(runner.directoryNanos(), context.nowNanos())) {
            case SAME_VERSION -> {
                appendQueuedEvents();
                heldEnd.ifPresent(this::finish);
            }
            case OTHER_VERSION -> discardOutput();
            default -> {
                // The events wait for a later directory.
            }
        }
    }

    private void appendQueuedEvents() {
        StreamEvent event = queuedEvents.poll();
        while (event != null) {
            item.appendEvent(event.id(), event.data());
            event = queuedEvents.poll();
        }
    }

    private void discardOutput() {
        String reason = "the endpoint was replaced";
        queuedEvents.clear();
        if (heldEnd.isPresent()) {
            finish(new HeldEnd(RunEnd.YIELDED, reason, heldEnd.get().atNanos));
        } else {
            exchange.cancel();
            end(RunEnd.YIELDED, AttemptEnd.ABANDONED, reason);
        }
    }

    /** Cancels the run; its item continues later. Called on the control thread. */
    void cancel() {
        if (!ended) {
            exchange.cancel();
            end(RunEnd.YIELDED, AttemptEnd.ABANDONED, "");
        }
    }

    @Override
    public void onHead(int newStatus, HttpHeaders newHeaders) {
        status = newStatus;
        headers = newHeaders;
        fromEndpoint = context.dialects().traffic().isFromEndpoint(status, headers);
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (fromEndpoint && status == OK) {
            eventSplitter.read(bytes).stream().filter(StreamEvent::hasContent).forEach(this::queue);
            return;
        }
        discardedBytes += bytes.length;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            throw new MalformedAnswerException(
                    "status " + status + " with more than " + MAX_DISCARDED_BYTES + " bytes");
        }
    }

    private void queue(StreamEvent event) {
        outputBytes += event.raw().length;
        if (outputBytes > MAX_OUTPUT_BYTES) {
            throw new MalformedAnswerException("output of more than " + MAX_OUTPUT_BYTES + " bytes");
        }
        queuedEvents.add(event);
    }

    @Override
    public boolean provesEndOfRun() {
        boolean success = status < FIRST_NON_SUCCESS;
        return success
                ? fromEndpoint && !eventSplitter.isInsideEvent()
                : context.dialects().traffic().requestId(headers).isPresent();
    }

    @Override
    public void onEnd() {
        boolean notRun = context.dialects().traffic().isNotRun(status, headers);
        boolean insideEvent = eventSplitter.isInsideEvent();
        boolean endIsMarked = BodyFraming.of(status, headers) != BodyFraming.CONNECTION_CLOSE;
        context.loop().execute(() -> {
            if (status == MISDIRECTED) {
                end(RunEnd.NOT_RUN, AttemptEnd.OTHER_ENDPOINT, "status " + status);
            } else if (notRun) {
                end(RunEnd.NOT_RUN, AttemptEnd.BUSY, "status " + status);
            } else if (fromEndpoint && status == OK && !insideEvent) {
                end(endIsMarked ? RunEnd.COMPLETED : RunEnd.UNCONFIRMED, AttemptEnd.ANSWERED, "");
            } else if (status == UNPROCESSABLE) {
                end(RunEnd.REJECTED, AttemptEnd.ANSWERED, "status " + status);
            } else if (status == SERVER_ERROR) {
                end(RunEnd.ERROR_ANSWER, AttemptEnd.ERROR_ANSWER, "status " + status);
            } else if (insideEvent) {
                end(
                        RunEnd.CUT,
                        endIsMarked ? AttemptEnd.MALFORMED : AttemptEnd.CUT,
                        "the stream ended inside an event");
            } else {
                end(RunEnd.CUT, AttemptEnd.MALFORMED, "status " + status);
            }
        });
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        boolean notRun = failure.outcome() == Outcome.NOT_RUN;
        context.loop().execute(() -> end(notRun ? RunEnd.NOT_RUN : RunEnd.CUT, attemptEnd(failure), failure.detail()));
    }

    private static AttemptEnd attemptEnd(ExchangeFailure failure) {
        if (failure.outcome() == Outcome.NOT_RUN) {
            return AttemptEnd.UNREACHABLE;
        }
        return failure.kind() == ExchangeFailure.Kind.MALFORMED ? AttemptEnd.MALFORMED : AttemptEnd.CUT;
    }

    private void end(RunEnd end, AttemptEnd attemptEnd, String detail) {
        if (ended) {
            return;
        }
        ended = true;
        HeldEnd held = new HeldEnd(end, detail, context.nowNanos());
        runner.onExchangeEnded(placed, end, attemptEnd);
        if (queuedEvents.isEmpty()) {
            finish(held);
            return;
        }
        heldEnd = Optional.of(held);
        processQueuedEvents();
    }

    private void finish(HeldEnd held) {
        runner.onRunEnded(placed, held.end, held.detail, held.atNanos);
    }

    /** The end of a run whose last events have no known version yet. */
    private record HeldEnd(RunEnd end, String detail, long atNanos) {}
}
