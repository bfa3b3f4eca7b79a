package org.gooseberryhill.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Passes the messages of a client connection to its current exchange. Runs only on the connection's event loop. */
final class ClientConnectionHandler extends ChannelDuplexHandler {
    /** A second response arrives during the next requests of its connection, if at all. */
    private static final int MAX_CARRIED_IDS = 16;

    private final Deque<String> carriedIds = new ArrayDeque<>(0);
    private ClientExchange exchange;
    private boolean closedLocally;
    private final StatusLineSearch statusLineSearch = new StatusLineSearch();
    private boolean framed;
    private boolean hasLength;
    private boolean keepAlive;
    private boolean skippingResponse;
    private boolean endPending;
    private SkippedResponses skippedResponses = new SkippedResponses();
    private boolean connectionFailed;
    private boolean responsesBefore;
    private boolean responsesStateRequests;

    void attach(ClientExchange newExchange) {
        exchange = newExchange;
        skippedResponses = new SkippedResponses();
        newExchange.responseMatcher().requestId().ifPresent(this::recordCarried);
    }

    /**
     * Returns whether the connection has recently carried a request with the same id: a second response to it, which states that id,
     * may be in transit.
     */
    boolean hasCarried(ClientExchange newExchange) {
        return newExchange
                .responseMatcher()
                .requestId()
                .filter(carriedIds::contains)
                .isPresent();
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
        endIfPending();
        if (exchange != null) {
            exchange.onReadComplete();
        }
        context.fireChannelReadComplete();
    }

    private void handleMessage(ChannelHandlerContext context, HttpObject message) {
        if (endPending && message.decoderResult().isFailure() && statusLineSearch.hasBegun()) {
            endPending = false;
            exchange.failWith(
                    ExchangeFailure.Kind.MALFORMED, "the answer was completed by the beginning of another one");
            return;
        }
        endIfPending();
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
        if (message instanceof HttpResponse response && !handleHead(response)) {
            return;
        }
        if (skippingResponse) {
            skip(message);
            return;
        }
        if (message instanceof HttpContent content) {
            if (content.content().isReadable()) {
                byte[] bytes = ByteBufUtil.getBytes(content.content());
                if (hasLength) {
                    statusLineSearch.read(bytes);
                }
                exchange.onBytes(bytes);
            }
            if (content instanceof LastHttpContent && exchange != null && !isTruncated(context)) {
                endPending = true;
                if (!hasLength) {
                    endIfPending();
                }
            }
        }
    }

    /**
     * Ends the exchange whose response is complete by its framing. This waits until all that was read is decoded: a body that stops
     * before its announced length is completed by the beginning of another response, whose rest is no response.
     */
    private void endIfPending() {
        if (!endPending) {
            return;
        }
        endPending = false;
        if (exchange != null) {
            exchange.onEnd(keepAlive);
        }
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
        endIfPending();
        failExchange(
                closedLocally
                        ? "this host closed the connection inside the answer"
                        : "the connection closed inside the answer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        endIfPending();
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
    private boolean handleHead(HttpResponse response) {
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
        hasLength = framing == BodyFraming.LENGTH;
        statusLineSearch.reset();
        if (!framed && !exchange.acceptsUnframed()) {
            // A response that ends with its connection can't be distinguished from a truncated one,
            // unless the connection is reset.
            exchange.failWith(ExchangeFailure.Kind.MALFORMED, "the answer has neither a length nor an end mark");
            return false;
        }
        keepAlive = framed && HttpUtil.isKeepAlive(response);
        exchange.onHead(response.status().code(), response.headers());
        return true;
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
