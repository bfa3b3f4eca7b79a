package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.standin.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ListeningSocketTest {
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Address address = FreePorts.nextAddress();

    @AfterEach
    void close() {
        group.shutdownGracefully();
    }

    /** Callers that connect to a restarting host before its server is started must wait and be answered. */
    @Test
    void aCallerThatConnectsBeforeTheServerStartsIsAnswered() throws IOException {
        try (ListeningSocket socket = ListeningSocket.open(address);
                Socket caller = new Socket(address.ip(), address.port())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream().write("GET / HTTP/1.1\r\nhost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));

            try (HttpServer server =
                    HttpServer.start(group, socket, () -> HttpLimits.DEFAULT, ListeningSocketTest::answer)) {
                BufferedReader answer =
                        new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII));
                assertThat(answer.readLine()).isEqualTo("HTTP/1.1 204 No Content");
            }
        }
    }

    @Test
    void anAddressInUseIsAnError() {
        try (ListeningSocket socket = ListeningSocket.open(address)) {
            assertThat(socket.address()).isEqualTo(address);
            assertThatThrownBy(() -> ListeningSocket.open(address)).isInstanceOf(UncheckedIOException.class);
        }
    }

    private static RequestBodyHandler answer(HttpCall call) {
        return new BodyCollector(
                1024, body -> call.reply(204, Map.of(), body), () -> call.reply(413, Map.of(), new byte[0]));
    }
}
