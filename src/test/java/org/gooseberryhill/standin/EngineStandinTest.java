package org.gooseberryhill.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EngineStandinTest {
    private static final int TOKENS = 6;

    /** Far longer than any pause within a stream, so that it expires only if the stream never ends. */
    private static final int STREAM_TIMEOUT_MILLIS = 60_000;

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final EngineStandin engine = new EngineStandin(group, Loopback.freeAddress(), new EngineSpeed(4, 1, 16, 4));
    private final HttpClient http = new HttpClient(group);

    @AfterEach
    void close() {
        http.close();
        engine.close();
        group.shutdownGracefully();
    }

    /**
     * Guards against repeated or missing tokens when a truncated stream is resumed. With 6, all tokens were received, and
     * only the {@code [DONE]} event is missing.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 5, 6})
    void aResumedStreamHasTheRemainingTokensAndTheDoneEvent(int resumeFrom) {
        byte[] body = Json.bytes(Map.of("prompt", "a long prompt ".repeat(20), "max_tokens", TOKENS, "stream", true));
        ExchangeRequest request = new ExchangeRequest(
                engine.address(),
                "POST",
                "/v1/completions",
                Map.of("x-resume-from", Integer.toString(resumeFrom)),
                body,
                STREAM_TIMEOUT_MILLIS,
                false);

        HttpResult result = http.call(request, 100_000).join();

        String text = new String(result.body(), StandardCharsets.UTF_8);
        assertThat(text.split("\"content\"", -1)).hasSize(1 + TOKENS - resumeFrom);
        assertThat(text).endsWith("data: [DONE]\n\n");
    }
}
