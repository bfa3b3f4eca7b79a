package org.gooseberryhill.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.gooseberryhill.http.AnswerDecoder.Following;

/**
 * Passes the messages of a client connection to its current exchange. Runs only on the connection's event loop.
 *
 * <p>Invariant: the end of a response is reported only if nothing that has arrived by then contradicts it. A body that stops too
 * early may be completed by another response, and the end of a connection may be that of a reset one.
 */
final class ClientConnectionHandler extends ChannelDuplexHandler {
    /** A second response arrives during the next requests of its connection, if at all. */
    private static final int MAX_CARRIED_IDS = 16;

    /** Time in which the rest of another response follows the part that may have completed a body. */
    private static final int FOLLOWING_WAIT_MILLIS = 50;

    /** Time in which a reset follows the end of a connection whose endpoint has not read the whole request. */
    private static final int RESET_WAIT_MILLIS = 20;

    private final AnswerDecoder decoder;
    private final Deque<String> carriedIds = new ArrayDeque<>(0);
    private ClientExchange exchange;
    private EmbeddedAnswerSearch search = new EmbeddedAnswerSearch(headers -> false);
    private boolean closedLocally;
    private boolean framed;
    private boolean keepAlive;
    private boolean skippingResponse;
    private boolean endPending;
    private boolean endScheduled;
    private SkippedResponses skippedResponses = new SkippedResponses();
    private boolean connectionFailed;
    private boolean responsesBefore;
    private boolean responsesStateRequests;

    ClientConnectionHandler(AnswerDecoder decoder) {
        this.decoder = decoder;
    }

    void attach(ClientExchange newExchange) {
        exchange = newExchange;
        decoder.beginExchange(newExchange.method());
        skippedResponses = new SkippedResponses();
        newExchange.responseMatcher().requestId().ifPresent(this::recordCarried);
    }

    /**
     * Returns whether an exchange can use the connection after others: no bytes wait on it that belong to none, and it has not
     * recently carried a request with the same id. A second response to that one, which states the id, may be in transit.
     */
    boolean isReusableFor(ClientExchange newExchange) {
        boolean hasCarried = newExchange
                .responseMatcher()
                .requestId()
                .filter(carriedIds::contains)
                .isPresent();
        return !hasCarried && decoder.following() == Following.NOTHING;
    }

    private void recordCarried(String requestId) {
        if (carriedIds.size() >= MAX_CARRIED_IDS) {
            carriedIds.removeFirst();
        }
        carriedIds.addLast(requestId);
    }

    void detach() {
        exchange = null;
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        closedLocally = true;
        context.close(promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            handleMessage(context, (HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (endPending && framed) {
            endUnlessContradicted(context, decoder.following());
        }
        if (exchange != null && !endPending) {
            exchange.onReadComplete();
        }
        context.fireChannelReadComplete();
    }

    private void handleMessage(ChannelHandlerContext context, HttpObject message) {
        if (endPending) {
            end(isResponse(message) ? Following.RESPONSE : Following.NO_RESPONSE);
        }
        if (exchange == null) {
            // Unsolicited bytes: the next exchange must never take them for its own response.
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            exchange.failWith(
                    ExchangeFailure.Kind.MALFORMED,
                    String.valueOf(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpResponse response && !handleHead(context, response)) {
            return;
        }
        if (skippingResponse) {
            skip(message);
            return;
        }
        if (message instanceof HttpContent content) {
            handleContent(context, content);
        }
    }

    private void handleContent(ChannelHandlerContext context, HttpContent content) {
        if (content.content().isReadable()) {
            exchange.recordActivity();
            passOn(search.read(ByteBufUtil.getBytes(content.content())));
            if (search.hasFound()) {
                exchange.failWith(ExchangeFailure.Kind.MALFORMED, "the body contains another answer");
                return;
            }
        }
        if (content instanceof LastHttpContent && exchange != null && !isTruncated(context)) {
            endPending = true;
            if (!framed) {
                endWithConnection(context);
            }
        }
    }

    private void passOn(byte[] bytes) {
        if (bytes.length > 0) {
            exchange.onBytes(bytes);
        }
    }

    /**
     * Ends the exchange whose response is complete by its framing, after all that was read has been decoded. If its body ends inside
     * another response, this waits for a short time for what follows.
     */
    private void endUnlessContradicted(ChannelHandlerContext context, Following following) {
        boolean undecided = following == Following.NOTHING || following == Following.UNKNOWN;
        if (search.endsInsideAnswer() && undecided) {
            // Reading may be paused.
            context.read();
            scheduleEnd(context, FOLLOWING_WAIT_MILLIS, () -> {
                Following last = decoder.following();
                end(last == Following.UNKNOWN ? Following.NO_RESPONSE : last);
            });
            return;
        }
        end(following);
    }

    /**
     * Ends the exchange whose response ends with its connection. An endpoint that has not read the whole request resets the
     * connection, in which case the response is not complete, but the reset may follow the end.
     */
    private void endWithConnection(ChannelHandlerContext context) {
        if (exchange.hasUnsentBytes()) {
            failExchange("the connection ended before the request was written");
            return;
        }
        if (!(context.channel() instanceof ClientChannel channel) || !channel.isActive() || !exchange.hasBody()) {
            end(Following.NOTHING);
            return;
        }
        channel.config().setAutoRead(false);
        scheduleEnd(context, RESET_WAIT_MILLIS, () -> {
            if (channel.isReset()) {
                failExchange("the connection was reset behind the end of the answer");
                context.close();
            } else {
                end(Following.NOTHING);
            }
        });
    }

    private void scheduleEnd(ChannelHandlerContext context, int delayMillis, Runnable action) {
        if (endScheduled) {
            return;
        }
        endScheduled = true;
        ClientExchange current = exchange;
        Runnable unlessEnded = () -> {
            if (endPending && exchange == current) {
                action.run();
            }
        };
        context.channel()
                .eventLoop()
                .schedule(
                        () -> AfterRead.run(context.channel().eventLoop(), unlessEnded),
                        delayMillis,
                        TimeUnit.MILLISECONDS);
    }

    /** Ends the exchange whose response is complete by its framing, given what follows it. */
    private void end(Following following) {
        endPending = false;
        if (exchange == null) {
            return;
        }
        if (search.endsInsideAnswer() && following == Following.NO_RESPONSE) {
            exchange.failWith(ExchangeFailure.Kind.MALFORMED, "the body was completed by another answer");
            return;
        }
        passOn(search.takeUndecided());
        if (exchange != null) {
            exchange.onEnd(keepAlive && following == Following.NOTHING);
        }
    }

    private static boolean isResponse(HttpObject message) {
        return message instanceof HttpResponse && message.decoderResult().isSuccess();
    }

    /** Skips a part of an interim response or the response to another request, which ends with LastHttpContent as well. */
    private void skip(HttpObject message) {
        if (message instanceof HttpResponse) {
            skippedResponses.addResponse();
        }
        if (message instanceof HttpContent content) {
            skippedResponses.addBodyBytes(content.content().readableBytes());
        }
        skippingResponse = !(message instanceof LastHttpContent);
        if (skippedResponses.tooMany()) {
            exchange.failWith(ExchangeFailure.Kind.MALFORMED, "too many answers that belong to no request");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (endPending && !isTruncated(context)) {
            end(decoder.following());
        }
        endPending = false;
        failExchange(
                closedLocally
                        ? "this host closed the connection inside the answer"
                        : "the connection closed inside the answer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (endPending && framed && !search.endsInsideAnswer()) {
            end(decoder.following());
        }
        endPending = false;
        connectionFailed = true;
        failExchange(String.valueOf(cause));
        context.close();
    }

    /**
     * Returns whether the end of a response is not the endpoint's. The codec reports the end of an unframed response
     * whenever its connection ends: also after a reset, and when this process closes its connections as it ends.
     */
    private boolean isTruncated(ChannelHandlerContext context) {
        boolean endedHere = closedLocally || context.channel().eventLoop().isShuttingDown();
        return connectionFailed || !framed && endedHere;
    }

    /** Handles the head of a response; returns false if the exchange failed because of it. */
    private boolean handleHead(ChannelHandlerContext context, HttpResponse response) {
        Optional<String> fault =
                AnswerHeadCheck.fault(response, exchange.responseMatcher().singleFields());
        if (fault.isPresent()) {
            exchange.failWith(ExchangeFailure.Kind.MALFORMED, fault.get());
            return false;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skippingResponse = true;
            return true;
        }
        boolean mayBeOfAnotherRequest = mayBeOfAnotherRequest(response);
        responsesBefore = true;
        if (!exchange.responseMatcher().matches(response.headers())) {
            skippingResponse = true;
            return true;
        }
        if (mayBeOfAnotherRequest) {
            exchange.failWith(
                    ExchangeFailure.Kind.MALFORMED,
                    "the answer does not state its request, and the connection has carried others");
            return false;
        }
        BodyFraming framing = BodyFraming.of(response.status().code(), response.headers());
        framed = framing != BodyFraming.CONNECTION_CLOSE;
        search = new EmbeddedAnswerSearch(secondResponseCheck(response.headers()));
        endScheduled = false;
        if (!framed && !exchange.acceptsUnframed()) {
            // A response that ends with its connection can't be distinguished from a truncated one,
            // unless the connection is reset.
            exchange.failWith(ExchangeFailure.Kind.MALFORMED, "the answer has neither a length nor an end mark");
            return false;
        }
        if (!framed && exchange.hasBody()) {
            // The connection stays open at its end, to see whether a reset follows.
            context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        }
        keepAlive = framed && HttpUtil.isKeepAlive(response);
        exchange.onHead(response.status().code(), response.headers());
        return true;
    }

    /** Returns the check of headers that stand inside the body of a response. */
    private Predicate<HttpHeaders> secondResponseCheck(HttpHeaders response) {
        ResponseMatcher matcher = exchange.responseMatcher();
        boolean eventStream = EventStreamFields.isEventStream(response);
        return headers -> matcher.provesSecondResponse(headers, carriedIds)
                || eventStream && !EventStreamFields.areEventFields(headers);
    }

    /**
     * Returns whether a response may be a late one to an earlier request: it states no request, and earlier responses on the connection
     * did, or it would have its request sent again.
     */
    private boolean mayBeOfAnotherRequest(HttpResponse response) {
        ResponseMatcher matcher = exchange.responseMatcher();
        if (matcher.statesRequest(response.headers())) {
            responsesStateRequests = true;
            return false;
        }
        return responsesStateRequests
                || responsesBefore && matcher.promisesNotRun(response.status().code(), response.headers());
    }

    private void failExchange(String detail) {
        ClientExchange current = exchange;
        exchange = null;
        if (current != null) {
            current.failWith(ExchangeFailure.Kind.CONNECTION_LOST, detail);
        }
    }
}
