package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterContainer;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.link.Address;

/** Tests answers that stop anywhere and are followed by another answer, and sound answers that quote one. */
class CompletedAnswerProperties {
    private static final String EARLIER_ID = "r0";
    private static final String ID = "r1";
    private static final int SILENCE_MILLIS = 60_000;

    /** Pause between two parts of what an endpoint sends. */
    private static final int PAUSE_MILLIS = 15;

    /** Longer than the client waits for what follows an answer. */
    private static final int END_MILLIS = 200;

    private static final EventLoopGroup GROUP = Loopback.newEventLoopGroup();

    @AfterContainer
    static void close() {
        GROUP.shutdownGracefully();
    }

    /** Guards against a caller that gets a part of the answer to another request, or a part of its own answer as the whole. */
    @Property(tries = 20_000)
    void whatCompletesAnAnswerIsNotPassedOn(
            @ForAll("ownAnswers") Answer own,
            @ForAll("otherAnswers") Answer other,
            @ForAll @IntRange(max = 10_000) int cutPerMyriad,
            @ForAll Random division,
            @ForAll boolean ends) {
        Connection connection = new Connection();
        int length = own.text().length() * cutPerMyriad / 10_000;

        connection.receive(own.text().substring(0, length) + other.text(), division, ends);

        assertThat(connection.received()).as("bytes passed on").matches("o*");
        if (connection.complete) {
            assertThat(connection.received()).isEqualTo(own.body);
        }
    }

    /** Guards against a sound answer that is refused since its body quotes another one, or is not passed on whole. */
    @Property
    void aBodyThatQuotesAnAnswerIsPassedOn(
            @ForAll("quotingAnswers") Answer answer, @ForAll Random division, @ForAll boolean ends) {
        Connection connection = new Connection();

        connection.receive(answer.text(), division, ends || answer.framing == BodyFraming.CONNECTION_CLOSE);

        assertThat(connection.failure).isEmpty();
        assertThat(connection.complete).isTrue();
        assertThat(connection.received()).isEqualTo(answer.body);
    }

    @Provide
    Arbitrary<Answer> ownAnswers() {
        return answersOf(ID, "o");
    }

    @Provide
    Arbitrary<Answer> otherAnswers() {
        return answersOf(EARLIER_ID, "f");
    }

    @Provide
    Arbitrary<Answer> quotingAnswers() {
        Arbitrary<String> quoted = Arbitraries.of(
                "HTTP/1.1 404 in a text",
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
                "HTTP/1.1 200 OK\r\nx-id: r7\r\ncontent-length: 9\r\n\r\nan excerp",
                "HTTP/1.1 200 OK\r\nserver: a\r\n\r\n",
                "GET / HTTP/1.1\r\nx-id: r1\r\n\r\nHTTP/1.1 503 Unavailable\r\n\r\nx",
                "the letter H",
                "HTTP/1.",
                "HTTP/1.1 2000",
                "HTTP/1.1 200 OK\nno field\n\n");
        Arbitrary<String> bodies = Combinators.combine(quoted, quoted, Arbitraries.of("", "a text ", "H", "\r\n"))
                .as((first, second, between) -> between + first + "\r\n\r\n" + between + second);
        return Arbitraries.oneOf(
                answers(ID, bodies, false),
                answers(ID, bodies.map(body -> "id: 1\ndata: " + body.replace("\n", "\ndata: ") + "\n\n"), true));
    }

    private static Arbitrary<Answer> answersOf(String id, String content) {
        Arbitrary<String> bodies = Arbitraries.integers().between(0, 120).map(content::repeat);
        return Arbitraries.oneOf(answers(id, bodies, false), answers(id, bodies, true));
    }

    private static Arbitrary<Answer> answers(String id, Arbitrary<String> bodies, boolean eventStream) {
        return Combinators.combine(
                        Arbitraries.of("200 OK", "404 Not Found", "500 Error"),
                        Arbitraries.of(BodyFraming.class),
                        bodies,
                        Arbitraries.integers().between(1, 50))
                .as((status, framing, body, chunk) -> new Answer(id, status, framing, body, chunk, eventStream));
    }

    /** An answer as an endpoint sends it. */
    private record Answer(
            String id, String status, BodyFraming framing, String body, int chunkBytes, boolean eventStream) {
        String text() {
            String head = "HTTP/1.1 " + status + "\r\nx-id: " + id + "\r\n"
                    + (eventStream ? "content-type: text/event-stream\r\n" : "");
            return head
                    + switch (framing) {
                        case LENGTH -> "content-length: " + body.length() + "\r\n\r\n" + body;
                        case CHUNKED -> "transfer-encoding: chunked\r\n\r\n" + chunks();
                        case CONNECTION_CLOSE -> "\r\n" + body;
                    };
        }

        private String chunks() {
            StringBuilder chunks = new StringBuilder();
            for (int from = 0; from < body.length(); from += chunkBytes) {
                String chunk = body.substring(from, Math.min(body.length(), from + chunkBytes));
                chunks.append(Integer.toHexString(chunk.length()))
                        .append("\r\n")
                        .append(chunk)
                        .append("\r\n");
            }
            return chunks.append("0\r\n\r\n").toString();
        }
    }

    /** A connection that has carried an earlier request and waits for the answer to the next one. */
    private static final class Connection implements ExchangeListener {
        private final HttpClient client = new HttpClient(GROUP);
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private Optional<String> failure = Optional.empty();
        private boolean complete;

        Connection() {
            HttpClient.addHandlers(channel.pipeline());
            begin(EARLIER_ID, "HTTP/1.1 200 OK\r\nx-id: " + EARLIER_ID + "\r\ncontent-length: 0\r\n\r\n");
            assertThat(complete).isTrue();
            complete = false;
            begin(ID, "");
        }

        String received() {
            return bytes.toString(StandardCharsets.US_ASCII);
        }

        /** Receives a text in any division, and the end of the connection if it ends. */
        void receive(String text, Random division, boolean ends) {
            int from = 0;
            while (from < text.length()) {
                int to = division.nextBoolean() ? text.length() : from + 1 + division.nextInt(text.length() - from);
                write(text.substring(from, to));
                if (division.nextBoolean()) {
                    pass(PAUSE_MILLIS);
                }
                from = to;
            }
            if (ends) {
                channel.pipeline().fireChannelInactive();
            }
            pass(END_MILLIS);
            channel.releaseOutbound();
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            assertThat(complete || failure.isPresent()).isFalse();
        }

        @Override
        public void onBytes(byte[] part) {
            assertThat(complete || failure.isPresent()).isFalse();
            bytes.writeBytes(part);
        }

        @Override
        public void onEnd() {
            complete = true;
        }

        @Override
        public void onFailure(ExchangeFailure newFailure) {
            failure = Optional.of(newFailure.detail());
        }

        private void begin(String id, String answer) {
            ExchangeOptions options =
                    new ExchangeOptions(SILENCE_MILLIS, SILENCE_MILLIS, Integer.MAX_VALUE, true, new IdMatcher(id), 0);
            ExchangeRequest request = new ExchangeRequest(
                    new Address("127.0.0.1", 1),
                    "GET",
                    "/",
                    Map.<String, String>of().entrySet(),
                    new byte[0],
                    options);
            new ClientExchange(client, request, this).begin(channel, false);
            channel.runPendingTasks();
            write(answer);
        }

        private void write(String text) {
            if (!text.isEmpty() && channel.isOpen()) {
                channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            }
        }

        private void pass(int millis) {
            for (int passed = 0; passed < millis; passed++) {
                channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
                channel.runPendingTasks();
            }
        }
    }

    /** Matches by the field {@code x-id}; a body may quote the ids of requests that the connection has not carried. */
    private record IdMatcher(String id) implements ResponseMatcher {
        @Override
        public boolean matches(HttpHeaders headers) {
            return id.equals(headers.get("x-id", id));
        }

        @Override
        public boolean statesRequest(HttpHeaders headers) {
            return headers.contains("x-id");
        }

        @Override
        public boolean provesSecondResponse(HttpHeaders headers, Collection<String> carriedIds) {
            return carriedIds.contains(headers.get("x-id", ""));
        }

        @Override
        public Optional<String> requestId() {
            return Optional.of(id);
        }

        @Override
        public List<String> singleFields() {
            return List.of("x-id");
        }
    }
}
