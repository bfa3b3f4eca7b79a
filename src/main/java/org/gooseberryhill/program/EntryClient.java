package org.gooseberryhill.program;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.http.ExchangeListener;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Address;

/** HTTP client that calls an entry host as a caller does. Thread-safe. */
public final class EntryClient implements Closeable {
    private static final int SILENCE_TIMEOUT_MILLIS = 60_000;
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient http = new HttpClient(group);
    private final Address address;
    private final String key;

    /** Creates a client of one entry host that authenticates with a caller's bearer key. */
    public EntryClient(Address address, String key) {
        this.address = address;
        this.key = key;
    }

    /** Sends a request with additional headers and waits for the complete answer. */
    public HttpResult call(String method, String target, byte[] body, Map<String, String> headers) {
        return http.call(request(method, target, body, headers), MAX_ANSWER_BYTES)
                .join();
    }

    /** Sends a request and waits for the complete answer. */
    public HttpResult call(String method, String target, byte[] body) {
        return call(method, target, body, Map.of());
    }

    /** Sends a request whose answer is passed to the listener as it arrives. */
    public void start(String method, String target, byte[] body, ExchangeListener listener) {
        http.start(request(method, target, body, Map.of()), listener);
    }

    @Override
    public void close() {
        http.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private ExchangeRequest request(String method, String target, byte[] body, Map<String, String> headers) {
        Map<String, String> all = new HashMap<>(headers);
        all.put("authorization", "Bearer " + key);
        return new ExchangeRequest(address, method, target, all, body, SILENCE_TIMEOUT_MILLIS, false);
    }
}
