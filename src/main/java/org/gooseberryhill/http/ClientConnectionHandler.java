package org.gooseberryhill.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** Passes the messages of a client connection to its current exchange. Runs only on the connection's event loop. */
final class ClientConnectionHandler extends ChannelDuplexHandler {
    private ClientExchange exchange;
    private boolean closedHere;
    private boolean keepAlive;
    private boolean passedOver;
    private boolean broken;

    void attach(ClientExchange newExchange) {
        exchange = newExchange;
    }

    void detach() {
        exchange = null;
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        closedHere = true;
        context.close(promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            take(context, (HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void take(ChannelHandlerContext context, HttpObject message) {
        if (exchange == null) {
            // Unsolicited bytes: the next exchange must never take them for its own response.
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            exchange.lost(
                    ExchangeFailure.Kind.MALFORMED,
                    String.valueOf(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpResponse response && !head(response)) {
            return;
        }
        if (passedOver) {
            // The codec also ends an interim response, or one of another request, with LastHttpContent.
            passedOver = !(message instanceof LastHttpContent);
            return;
        }
        if (message instanceof HttpContent content) {
            if (content.content().isReadable()) {
                exchange.bytes(ByteBufUtil.getBytes(content.content()));
            }
            if (content instanceof LastHttpContent && exchange != null && !broken) {
                exchange.end(keepAlive);
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        lost(
                closedHere
                        ? "this host closed the connection inside the answer"
                        : "the connection closed inside the answer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The codec reports the end of an unframed response whenever its connection ends, even after a reset.
        broken = true;
        lost(String.valueOf(cause));
        context.close();
    }

    private boolean head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            passedOver = true;
            return true;
        }
        if (!exchange.owns(response.headers())) {
            passedOver = true;
            return true;
        }
        boolean framed = HttpUtil.isTransferEncodingChunked(response)
                || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || isBodyless(response);
        if (!framed && !exchange.acceptsUnframed()) {
            // A response that ends with its connection can't be distinguished from a truncated one, unless the
            // connection
            // is reset.
            exchange.lost(ExchangeFailure.Kind.MALFORMED, "the answer has neither a length nor an end mark");
            return false;
        }
        keepAlive = framed && HttpUtil.isKeepAlive(response);
        exchange.head(response.status().code(), response.headers());
        return true;
    }

    private static boolean isBodyless(HttpResponse response) {
        int code = response.status().code();
        return code == 204 || code == 304;
    }

    private void lost(String detail) {
        ClientExchange current = exchange;
        exchange = null;
        if (current != null) {
            current.lost(ExchangeFailure.Kind.CONNECTION_LOST, detail);
        }
    }
}
