package org.gooseberryhill.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.channels.ClosedChannelException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.decision.memory.AnswerKind;

/**
 * The server side of one request. Thread-safe: all access to the connection runs on its event loop.
 *
 * <p>Invariant: there is exactly one response; calls after its end send nothing.
 */
final class ServerCall implements HttpCall {
    private final ChannelHandlerContext context;
    private final ServerConnectionHandler connection;
    private final HttpMethod method;
    private final QueryStringDecoder target;
    private final HttpHeaders headers;
    private final boolean keepAliveRequested;
    private boolean keepAlive;
    private volatile Runnable lastAnswer = () -> {};
    private Runnable disconnectCallback;
    private boolean disconnected;
    private boolean responseBegun;
    private boolean endsWithConnection;
    private boolean ended;

    ServerCall(ChannelHandlerContext context, ServerConnectionHandler connection, HttpRequest request) {
        this.context = context;
        this.connection = connection;
        this.method = request.method();
        this.target = new QueryStringDecoder(request.uri());
        this.headers = request.headers();
        this.keepAliveRequested = HttpUtil.isKeepAlive(request);
    }

    @Override
    public String method() {
        return method.name();
    }

    @Override
    public String target() {
        return target.uri();
    }

    @Override
    public String path() {
        return target.path();
    }

    @Override
    public Optional<String> parameter(String name) {
        List<String> values = target.parameters().get(name);
        return values == null || values.isEmpty() ? Optional.empty() : Optional.of(values.get(0));
    }

    @Override
    public HttpHeaders headers() {
        return headers;
    }

    @Override
    public void reply(int status, Iterable<Map.Entry<String, String>> replyHeaders, byte[] body) {
        runOnEventLoop(() -> {
            if (ended) {
                return;
            }
            if (responseBegun) {
                abort();
                return;
            }
            boolean bodyless = method.equals(HttpMethod.HEAD);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    bodyless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
            MessageHeaders.addAll(response.headers(), replyHeaders);
            if (!bodyless || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            setConnectionHeader(response, connection.hasUnreadBody());
            connection.hold().written(context.writeAndFlush(response));
            completeResponse(keepAlive);
        });
    }

    @Override
    public void beginStream(int status, Iterable<Map.Entry<String, String>> replyHeaders, BodyFraming framing) {
        runOnEventLoop(() -> {
            if (ended) {
                return;
            }
            responseBegun = true;
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            MessageHeaders.addAll(response.headers(), replyHeaders);
            endsWithConnection = framing == BodyFraming.CONNECTION_CLOSE;
            if (!endsWithConnection && !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            setConnectionHeader(response, endsWithConnection);
            context.writeAndFlush(response);
        });
    }

    @Override
    public CompletableFuture<Void> write(byte[] bytes) {
        CompletableFuture<Void> written = new CompletableFuture<>();
        runOnEventLoop(() -> {
            if (ended) {
                written.completeExceptionally(new ClosedChannelException());
                return;
            }
            ChannelFuture write = context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
            connection.hold().written(write);
            write.addListener(done -> complete(written, done.cause()));
        });
        return written;
    }

    @Override
    public void endStream() {
        runOnEventLoop(() -> {
            if (!ended) {
                context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                completeResponse(keepAlive);
            }
        });
    }

    @Override
    public void abortStream() {
        runOnEventLoop(() -> {
            if (!ended) {
                abort();
            }
        });
    }

    @Override
    public void setBodyReading(boolean reading) {
        runOnEventLoop(() -> {
            if (!ended) {
                connection.setBodyReadingPaused(context.channel(), !reading);
            }
        });
    }

    @Override
    public void setAnswerKind(AnswerKind kind) {
        connection.hold().setAnswerKind(kind);
    }

    @Override
    public boolean hasUnsentAnswer() {
        return connection.hold().unsentBytes() > 0;
    }

    @Override
    public void setBufferedAnswerBytes(long bytes) {
        runOnEventLoop(() -> {
            if (!ended) {
                connection.hold().setBufferedAnswerBytes(bytes);
            }
        });
    }

    @Override
    public void setLastAnswer(Runnable action) {
        lastAnswer = action;
    }

    @Override
    public void giveLastAnswer() {
        lastAnswer.run();
    }

    @Override
    public void onDisconnect(Runnable callback) {
        runOnEventLoop(() -> {
            if (disconnected) {
                callback.run();
                return;
            }
            disconnectCallback = callback;
        });
    }

    /** Handles the end of the connection; called on the event loop. */
    void handleDisconnect() {
        disconnected = true;
        if (!ended && disconnectCallback != null) {
            disconnectCallback.run();
        }
        ended = true;
    }

    private static void complete(CompletableFuture<Void> future, Throwable cause) {
        if (cause == null) {
            future.complete(null);
        } else {
            future.completeExceptionally(cause);
        }
    }

    private void abort() {
        ended = true;
        if (endsWithConnection) {
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        context.close();
    }

    private void completeResponse(boolean keepConnection) {
        ended = true;
        connection.responseCompleted(context, keepConnection);
    }

    private void setConnectionHeader(HttpResponse response, boolean closes) {
        keepAlive = keepAliveRequested && !closes && !connection.closesAfterResponse();
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void runOnEventLoop(Runnable task) {
        if (context.executor().inEventLoop()) {
            task.run();
        } else {
            context.executor().execute(task);
        }
    }
}
