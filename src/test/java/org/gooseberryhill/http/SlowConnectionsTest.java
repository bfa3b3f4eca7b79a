package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against clients that use up the connections of a server by sending their requests a byte at a time. */
class SlowConnectionsTest {
    private static final int SLOW_CONNECTIONS = 1000;
    private static final int MAX_PER_ADDRESS = 400;
    private static final int ORDINARY_CONNECTIONS = 50;
    private static final int HEADER_TIMEOUT_MILLIS = 1000;
    private static final HttpLimits LIMITS = new HttpLimits(
            512,
            256,
            600_000,
            1024 * 1024,
            HEADER_TIMEOUT_MILLIS,
            new ConnectionLimits(MAX_PER_ADDRESS + ORDINARY_CONNECTIONS, MAX_PER_ADDRESS));

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Address address = Loopback.freeAddress();
    private final HttpServer server = HttpServer.start(
            group,
            address,
            LIMITS,
            call -> new BodyCollector(
                    16, body -> call.reply(200, Map.of(), "ok".getBytes(StandardCharsets.US_ASCII)), () -> {}));
    private final List<Socket> slow = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (Socket socket : slow) {
            socket.close();
        }
        server.close();
        group.shutdownGracefully().syncUninterruptibly();
    }

    @Test
    void ordinaryRequestsAreServedBesideAThousandSlowConnectionsFromAnotherAddress() throws IOException {
        for (int i = 0; i < SLOW_CONNECTIONS; i++) {
            slow.add(connect("127.0.0.2"));
            sendByteIfOpen(slow.get(i));
        }
        Loopback.await("slow connections are counted", () -> server.refusedConnections() > 0);

        for (int i = 0; i < ORDINARY_CONNECTIONS; i++) {
            try (Socket socket = connect("127.0.0.1")) {
                socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(readStatusLine(socket)).isEqualTo("HTTP/1.1 200 OK");
            }
        }

        Loopback.await("slow requests are timed out", () -> server.timedOutRequests() >= MAX_PER_ADDRESS);
        assertThat(server.refusedConnections()).isEqualTo(SLOW_CONNECTIONS - MAX_PER_ADDRESS);
    }

    private Socket connect(String from) throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
        socket.connect(new InetSocketAddress(address.ip(), address.port()));
        return socket;
    }

    private static void sendByteIfOpen(Socket socket) throws IOException {
        try {
            socket.getOutputStream().write('G');
        } catch (SocketException e) {
            // The server has refused this connection.
            socket.close();
        }
    }

    private static String readStatusLine(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = socket.getInputStream().read(); next >= 0 && next != '\r'; ) {
            line.append((char) next);
            next = socket.getInputStream().read();
        }
        return line.toString();
    }
}
