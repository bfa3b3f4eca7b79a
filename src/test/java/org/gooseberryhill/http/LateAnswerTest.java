package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.http.RawEndpoint.ascii;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests a second answer to a request that arrives when its connection is used again. */
class LateAnswerTest {
    /** Far longer than any response takes; ends a test that would otherwise hang. */
    private static final int SILENCE_MILLIS = 60_000;

    private static final int REQUESTS = 3;
    private static final String OK = "200 OK";
    private static final String MISDIRECTED = "421 Misdirected Request";
    private static final int MISDIRECTED_STATUS = 421;

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final HttpClient client = new HttpClient(group);

    @AfterEach
    void close() {
        client.close();
        group.shutdownGracefully();
    }

    /** Guards against the answer to one request that is taken for the answer to the next one on the same connection. */
    @ParameterizedTest
    @MethodSource("lateAnswers")
    void aSecondAnswerIsNotTakenForThatToTheNextRequest(String statusLine, String idField, String when)
            throws IOException {
        String late = answer(statusLine, idField, "late");
        String[] answers = new String[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            answers[i] = answer(OK, "x-id: " + i + "\r\n", Integer.toString(i));
        }
        switch (when) {
            case "before" -> answers[0] += late;
            case "with" -> answers[1] = late + answers[1];
            default -> answers[1] += late;
        }
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            serveInBackground(listener, answers);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(call(listener, Integer.toString(i))).isIn(Integer.toString(i), "MALFORMED");
            }
        }
    }

    /** Guards against a request that is sent again while it runs, at an endpoint whose answers never state their requests. */
    @Test
    void aPromiseThatStatesNoRequestCountsOnlyAsTheFirstAnswerOfItsConnection() throws IOException {
        String[] answers = {answer(MISDIRECTED, "", "first"), answer(MISDIRECTED, "", "second"), answer(OK, "", "third")
        };
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            serveInBackground(listener, answers);

            assertThat(call(listener, "0")).isEqualTo("first");
            assertThat(call(listener, "1")).isEqualTo("MALFORMED");
            assertThat(call(listener, "1")).isEqualTo("second");
            assertThat(call(listener, "2")).isEqualTo("third");
        }
    }

    /** Guards against a refusal that is not believed, since the endpoint sent an interim answer to the same request before. */
    @Test
    void aPromiseAfterAnInterimAnswerIsTheFirstAnswerOfItsConnection() throws IOException {
        String[] answers = {"HTTP/1.1 103 Early Hints\r\n\r\n" + answer(MISDIRECTED, "", "first")};
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            serveInBackground(listener, answers);

            assertThat(call(listener, "0")).isEqualTo("first");
        }
    }

    /** Guards against the second refusal of a request that is taken for the answer when it is sent to the endpoint again. */
    @Test
    void aRequestThatIsSentAgainDoesNotUseTheConnectionOfItsFirstAnswer() throws IOException {
        String refusal = answer(MISDIRECTED, "x-id: 7\r\n", "refusal");
        String[] answers = {refusal, answer(OK, "x-id: 8\r\n", "other"), answer(OK, "x-id: 7\r\n", "answer")};
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            serveInBackground(listener, answers);
            assertThat(call(listener, "0", "7")).isEqualTo("refusal");
            assertThat(call(listener, "1", "8")).isEqualTo("other");
            assertThat(client.connectionAttempts()).isEqualTo(1);

            assertThat(call(listener, "2", "7")).isEqualTo("answer");

            assertThat(client.connectionAttempts()).isEqualTo(2);
        }
    }

    private void serveInBackground(ServerSocket listener, String[] answers) {
        Thread server = new Thread(() -> serve(listener, answers), "late-answers");
        server.setDaemon(true);
        server.start();
    }

    private String call(ServerSocket listener, String id) {
        return call(listener, id, id);
    }

    private String call(ServerSocket listener, String target, String id) {
        ExchangeOptions options = new ExchangeOptions(
                SILENCE_MILLIS,
                ExchangeOptions.DEFAULT_CONNECT_TIMEOUT_MILLIS,
                Integer.MAX_VALUE,
                false,
                new IdMatcher(id),
                0);
        Address address = new Address("127.0.0.1", listener.getLocalPort());
        ExchangeRequest request = new ExchangeRequest(
                address, "GET", "/" + target, Map.<String, String>of().entrySet(), new byte[0], options);
        try {
            return new String(client.call(request, 100).join().body(), StandardCharsets.US_ASCII);
        } catch (CompletionException e) {
            return ((ExchangeException) e.getCause()).failure().kind().name();
        }
    }

    static Stream<Arguments> lateAnswers() {
        return Stream.of(OK, MISDIRECTED, "429 Too Many Requests", "500 Error", "503 Unavailable")
                .flatMap(status -> Stream.of("", "x-id: 0\r\n")
                        .flatMap(idField ->
                                Stream.of("before", "with", "after").map(when -> Arguments.of(status, idField, when))));
    }

    private static String answer(String statusLine, String idField, String body) {
        return "HTTP/1.1 " + statusLine + "\r\n" + idField + "content-length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Answers each request by the number in its target, on as many connections as the client opens. */
    private static void serve(ServerSocket listener, String[] answers) {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                String head = RawEndpoint.readHead(socket.getInputStream());
                while (!head.isEmpty()) {
                    socket.getOutputStream().write(ascii(answers[head.charAt("GET /".length()) - '0']));
                    head = RawEndpoint.readHead(socket.getInputStream());
                }
            } catch (IOException e) {
                // The client closed this connection, or the test has ended: accept the next one.
                continue;
            }
        }
    }

    private record IdMatcher(String id) implements ResponseMatcher {
        @Override
        public boolean matches(HttpHeaders headers) {
            return id.equals(headers.get("x-id", id));
        }

        @Override
        public boolean promisesNotRun(int status, HttpHeaders headers) {
            return status == MISDIRECTED_STATUS;
        }

        @Override
        public Optional<String> requestId() {
            return Optional.of(id);
        }

        @Override
        public boolean statesRequest(HttpHeaders headers) {
            return headers.contains("x-id");
        }
    }
}
