package org.gooseberryhill.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.link.Address;

/**
 * An HTTP/1.1 client that reuses connections. Thread-safe.
 *
 * <p>Invariant: a connection carries one exchange at a time and is reused only after a complete response.
 */
public final class HttpClient implements Closeable {
    private static final int MAX_HEADER_BYTES = 65_536;

    private final Bootstrap bootstrap;
    private final IdleConnectionPool idleConnections = new IdleConnectionPool();
    private final LongAdder connectionAttempts = new LongAdder();
    private final HeldBytes heldBytes;

    /** Creates a client on the given event loops. */
    public HttpClient(EventLoopGroup group) {
        this(group, HeldBytes.unbounded());
    }

    /** Creates a client that counts the bytes of request bodies that it has not sent yet. */
    public HttpClient(EventLoopGroup group, HeldBytes heldBytes) {
        this.heldBytes = heldBytes;
        bootstrap = new Bootstrap()
                .group(group)
                .channelFactory(ClientChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        addHandlers(channel.pipeline());
                    }
                });
    }

    /** Starts an exchange whose events are passed to the listener. */
    public Exchange start(ExchangeRequest request, ExchangeListener listener) {
        ClientExchange exchange = new ClientExchange(this, request, listener);
        Channel channel =
                idleConnections.take(request.address(), request.options().maxIdleMillis(), System.nanoTime());
        if (channel != null) {
            exchange.begin(channel, true);
            return exchange;
        }
        connect(exchange, request);
        return exchange;
    }

    /**
     * Opens a connection and keeps it for the next exchange.
     *
     * @param connectTimeoutMillis connect timeout
     * @return completes when the connection is established, and exceptionally if it can't be
     */
    public CompletableFuture<Void> openIdleConnection(Address address, int connectTimeoutMillis) {
        connectionAttempts.increment();
        CompletableFuture<Void> reached = new CompletableFuture<>();
        ChannelFuture connectFuture = openConnection(address, connectTimeoutMillis);
        connectFuture.addListener(done -> {
            if (done.isSuccess()) {
                keepForReuse(address, connectFuture.channel());
                reached.complete(null);
            } else {
                reached.completeExceptionally(done.cause());
            }
        });
        return reached;
    }

    /** Opens a new connection and begins an exchange on it. */
    void connect(ClientExchange exchange, ExchangeRequest request) {
        connectionAttempts.increment();
        ChannelFuture connectFuture =
                openConnection(request.address(), request.options().connectTimeoutMillis());
        connectFuture.addListener(done -> {
            if (done.isSuccess()) {
                exchange.begin(connectFuture.channel(), false);
            } else {
                exchange.fail(new ExchangeFailure(
                        ExchangeFailure.Kind.CONNECT_FAILED,
                        Outcome.NOT_RUN,
                        String.valueOf(done.cause().getMessage())));
            }
        });
    }

    /** Runs an exchange and collects its response, whose body may have up to {@code maxAnswerBytes} bytes. */
    public CompletableFuture<HttpResult> call(ExchangeRequest request, int maxAnswerBytes) {
        CompletableFuture<HttpResult> future = new CompletableFuture<>();
        start(request, new CollectingListener(maxAnswerBytes, future));
        return future;
    }

    @Override
    public void close() {
        idleConnections.close();
    }

    /** Closes the idle connections to an address; called when another process has taken over the address. */
    public void closeIdleConnections(Address address) {
        idleConnections.closeAll(address);
    }

    /** Returns whether there is an idle connection to an address. */
    public boolean hasIdleConnection(Address address) {
        return idleConnections.hasIdle(address);
    }

    /** Returns the number of connection attempts so far. */
    public long connectionAttempts() {
        return connectionAttempts.sum();
    }

    /** Returns the counts of request bodies that are not sent yet, together with what others count there. */
    public HeldBytes heldBytes() {
        return heldBytes;
    }

    /** Keeps a connection for reuse after a complete response. */
    void keepForReuse(Address address, Channel channel) {
        idleConnections.add(address, channel, System.nanoTime());
    }

    /** Adds the handlers of a client connection. */
    static void addHandlers(ChannelPipeline pipeline) {
        AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
        pipeline.addLast(new HttpRequestEncoder()).addLast(decoder).addLast(new ClientConnectionHandler(decoder));
    }

    private ChannelFuture openConnection(Address address, int connectTimeoutMillis) {
        return bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .connect(new InetSocketAddress(address.ip(), address.port()));
    }

    /** Collects a response up to a maximum size. Used by one event loop thread. */
    private static final class CollectingListener implements ExchangeListener {
        private final int maxBytes;
        private final CompletableFuture<HttpResult> future;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private HttpHeaders headers;

        CollectingListener(int maxBytes, CompletableFuture<HttpResult> future) {
            this.maxBytes = maxBytes;
            this.future = future;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders newHeaders) {
            status = newStatus;
            headers = newHeaders;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (body.size() + bytes.length > maxBytes) {
                throw new MalformedAnswerException("the answer is too large");
            }
            body.writeBytes(bytes);
        }

        @Override
        public void onEnd() {
            future.complete(new HttpResult(status, headers, body.toByteArray()));
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            future.completeExceptionally(new ExchangeException(failure));
        }
    }
}
