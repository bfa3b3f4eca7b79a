package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.requestbatch.ItemProgress;
import org.gooseberryhill.decision.requestbatch.PlacedItem;
import org.gooseberryhill.decision.requestbatch.RunEnd;
import org.gooseberryhill.dialect.AttemptTraits;
import org.gooseberryhill.http.EventSplitter;
import org.gooseberryhill.http.Exchange;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;
import org.gooseberryhill.http.ExchangeOptions;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.StreamEvent;

/**
 * One run of an item at an endpoint. Decisions are made on the control thread; stream events arrive on a traffic thread
 * and are queued until the control thread processes them.
 *
 * <p>Invariant: the run ends once; events that arrive after its end have no effect.
 */
final class ItemRun implements ExchangeListener {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int UNPROCESSABLE = 422;
    private static final int SERVER_ERROR = 500;

    /** Longer than any pause of a working endpoint that has many requests queued ahead of this one. */
    private static final int SILENCE_MILLIS = 3000;

    private static final int CONNECT_MILLIS = 500;

    private final GatewayContext context;
    private final BatchRunner runner;
    private final PlacedItem placed;
    private final ItemProgress item;
    private final EventSplitter events = new EventSplitter();
    private final Queue<StreamEvent> arrived = new ConcurrentLinkedQueue<>();
    private Exchange exchange;
    private boolean over;
    private int status;
    private HttpHeaders headers;
    private boolean genuine;

    ItemRun(GatewayContext context, BatchRunner runner, PlacedItem placed) {
        this.context = context;
        this.runner = runner;
        this.placed = placed;
        this.item = placed.item();
    }

    /** Starts the run. Called on the control thread. */
    void start() {
        HttpHeaders request = new DefaultHttpHeaders();
        item.item().headers().forEach(request::set);
        request.set(HttpHeaderNames.HOST, placed.batch().record().host());
        AttemptTraits traits = new AttemptTraits(
                placed.endpoint().id(),
                OptionalLong.empty(),
                item.lastEventId(),
                Optional.of(item.item().id()));
        context.dialects().traffic().addAttempt(request, traits);
        String id = item.item().id();
        ExchangeOptions options = new ExchangeOptions(
                SILENCE_MILLIS,
                CONNECT_MILLIS,
                Integer.MAX_VALUE,
                false,
                answer -> context.dialects()
                        .traffic()
                        .requestId(answer)
                        .map(id::equals)
                        .orElse(true));
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

    /**
     * Processes the queued events. Called on the control thread, which polls because waking it for each event costs
     * more than processing the event.
     */
    void takeEvents() {
        StreamEvent event = arrived.poll();
        while (event != null) {
            item.event(event.id(), event.data());
            event = arrived.poll();
        }
    }

    /** Cancels the run; its item continues later. Called on the control thread. */
    void yield() {
        if (!over) {
            exchange.cancel();
            over(RunEnd.YIELDED, AttemptEnd.ABANDONED, "");
        }
    }

    @Override
    public void onHead(int newStatus, HttpHeaders newHeaders) {
        status = newStatus;
        headers = newHeaders;
        genuine = context.dialects().traffic().isGenuine(status, headers);
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (genuine && status == OK) {
            arrived.addAll(events.read(bytes));
        }
    }

    @Override
    public void onEnd() {
        boolean notRun = context.dialects().traffic().isNotRun(status, headers);
        boolean whole = events.rest().length == 0;
        context.loop().execute(() -> {
            if (status == MISDIRECTED) {
                over(RunEnd.NOT_RUN, AttemptEnd.OTHER_ENDPOINT, "status " + status);
            } else if (notRun) {
                over(RunEnd.NOT_RUN, AttemptEnd.BUSY, "status " + status);
            } else if (genuine && status == OK && whole) {
                over(RunEnd.COMPLETED, AttemptEnd.ANSWERED, "");
            } else if (status == UNPROCESSABLE) {
                over(RunEnd.REJECTED, AttemptEnd.ANSWERED, "status " + status);
            } else if (status == SERVER_ERROR) {
                over(RunEnd.ERROR_ANSWER, AttemptEnd.ERROR_ANSWER, "status " + status);
            } else {
                over(RunEnd.CUT, AttemptEnd.MALFORMED, "status " + status);
            }
        });
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        boolean notRun = failure.outcome() == Outcome.NOT_RUN;
        context.loop()
                .execute(() -> over(
                        notRun ? RunEnd.NOT_RUN : RunEnd.CUT,
                        notRun ? AttemptEnd.UNREACHABLE : AttemptEnd.CUT,
                        failure.detail()));
    }

    private void over(RunEnd end, AttemptEnd attemptEnd, String detail) {
        if (over) {
            return;
        }
        takeEvents();
        over = true;
        runner.ended(placed, end, attemptEnd, detail);
    }
}
