package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.gooseberryhill.http.RawEndpoint.ascii;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpClientTest {
    /** Far longer than any response takes; ends a test that would otherwise hang. */
    private static final int LONG_SILENCE_MILLIS = 60_000;

    /** Far longer than a close takes, and shorter than the silence after which the client closes anyway. */
    private static final int END_TIMEOUT_MILLIS = 20_000;

    private static final int SHORT_SILENCE_MILLIS = 300;
    private static final String LENGTH_ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    private static final String CHUNKED_ANSWER =
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final HttpClient client = new HttpClient(group);

    @AfterEach
    void close() {
        client.close();
        group.shutdownGracefully();
    }

    /**
     * Ends the connection after each byte of the endpoint's response in turn, alternately by a reset and by a close. A
     * truncated response must never count as complete, and the failure must always report that the request may have
     * run.
     */
    @ParameterizedTest
    @ValueSource(strings = {LENGTH_ANSWER, CHUNKED_ANSWER})
    void anAnswerTruncatedAtAnyByteFailsWithTheOutcomeMayHaveRun(String answer) throws IOException {
        for (int length = 0; length < answer.length(); length++) {
            byte[] part = Arrays.copyOf(ascii(answer), length);
            try (RawEndpoint endpoint = new RawEndpoint(part, length % 2 == 0)) {
                ExchangeFailure failure = failure(endpoint.address(), LONG_SILENCE_MILLIS);
                assertThat(failure.outcome()).as("cut after %d bytes", length).isEqualTo(Outcome.MAY_HAVE_RUN);
                assertThat(failure.kind())
                        .as("cut after %d bytes", length)
                        .isNotIn(ExchangeFailure.Kind.SILENT, ExchangeFailure.Kind.CONNECT_FAILED);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {LENGTH_ANSWER, CHUNKED_ANSWER})
    void aCompleteAnswerIsReturned(String answer) throws IOException {
        try (RawEndpoint endpoint = new RawEndpoint(ascii(answer), false)) {
            assertThat(client.call(request(endpoint.address(), LONG_SILENCE_MILLIS), 100)
                            .join()
                            .body())
                    .isEqualTo(ascii("hello"));
        }
    }

    /** Guards against a connection that is read, and an answer that is kept, for as long as its server sends. */
    @Test
    void theConnectionOfAnAnswerThatIsTooLargeIsClosed() throws IOException {
        try (ServerSocket listener = new ServerSocket(0)) {
            Address address = new Address("127.0.0.1", listener.getLocalPort());
            CompletableFuture<HttpResult> answer = client.call(request(address, LONG_SILENCE_MILLIS), 100);
            try (Socket connection = listener.accept()) {
                OutputStream out = connection.getOutputStream();
                out.write(ascii("HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n"));
                out.write(new byte[101]);

                assertThatThrownBy(answer::join).hasMessageContaining("too large");
                // What the client has not read ends the connection by a reset.
                assertThat(endsFromOtherSide(connection)).isTrue();
            }
        }
    }

    @Test
    void anEndpointThatCannotBeReachedDidNotRunTheRequest() {
        ExchangeFailure failure = failure(Loopback.freeAddress(), LONG_SILENCE_MILLIS);

        assertThat(failure.kind()).isEqualTo(ExchangeFailure.Kind.CONNECT_FAILED);
        assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /**
     * A response with neither a length nor an end mark ends when its connection closes, so a truncated one looks like a
     * complete one.
     */
    @Test
    void anAnswerWithoutLengthOrEndMarkIsAFailure() throws IOException {
        try (RawEndpoint endpoint = new RawEndpoint(ascii("HTTP/1.1 200 OK\r\n\r\nhello"), false)) {
            assertThat(failure(endpoint.address(), LONG_SILENCE_MILLIS).kind())
                    .isEqualTo(ExchangeFailure.Kind.MALFORMED);
        }
    }

    @Test
    void anAnswerThatIsNotHttpIsAFailure() throws IOException {
        try (RawEndpoint endpoint = new RawEndpoint(ascii("no such thing\r\n\r\n"), false)) {
            assertThat(failure(endpoint.address(), LONG_SILENCE_MILLIS).kind())
                    .isEqualTo(ExchangeFailure.Kind.MALFORMED);
        }
    }

    /** The endpoint sends an unsolicited second response, which the next exchange must not take for its own. */
    @Test
    void aDuplicatedAnswerIsNotTakenByTheNextExchange() throws IOException {
        try (RawEndpoint endpoint = new RawEndpoint(ascii(LENGTH_ANSWER + LENGTH_ANSWER), false)) {
            client.call(request(endpoint.address(), LONG_SILENCE_MILLIS), 100).join();
            client.call(request(endpoint.address(), LONG_SILENCE_MILLIS), 100).join();

            assertThat(endpoint.requests()).isEqualTo(2);
        }
    }

    @Test
    void anInterimAnswerIsSkipped() throws IOException {
        String interim = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + LENGTH_ANSWER;
        try (RawEndpoint endpoint = new RawEndpoint(ascii(interim), false)) {
            HttpResult result = client.call(request(endpoint.address(), LONG_SILENCE_MILLIS), 100)
                    .join();
            assertThat(result.status()).isEqualTo(200);
            assertThat(result.body()).isEqualTo(ascii("hello"));
        }
    }

    @Test
    void aSilentEndpointFailsTheExchange() throws IOException {
        try (ServerSocket silent = new ServerSocket(0)) {
            ExchangeFailure failure = failure(new Address("127.0.0.1", silent.getLocalPort()), SHORT_SILENCE_MILLIS);
            assertThat(failure.kind()).isEqualTo(ExchangeFailure.Kind.SILENT);
            assertThat(failure.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
        }
    }

    private ExchangeFailure failure(Address address, int silenceMillis) {
        try {
            client.call(request(address, silenceMillis), 100).join();
        } catch (CompletionException e) {
            return ((ExchangeException) e.getCause()).failure();
        }
        throw new AssertionError("the exchange did not fail");
    }

    private static ExchangeRequest request(Address address, int silenceMillis) {
        return new ExchangeRequest(address, "GET", "/", Map.of(), new byte[0], silenceMillis, false);
    }

    /** Reads until the connection ends; a connection that does not end within the timeout stays open. */
    private static boolean endsFromOtherSide(Socket connection) throws IOException {
        connection.setSoTimeout(END_TIMEOUT_MILLIS);
        try {
            connection.getInputStream().readAllBytes();
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        }
    }
}
