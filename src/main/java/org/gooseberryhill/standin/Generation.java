package org.gooseberryhill.standin;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.link.Json;

/**
 * The generation of one answer by an engine stand-in. Confined to the engine's thread.
 *
 * <p>The text depends only on the prompt, so that callers can check complete answers and another engine can resume an
 * answer.
 */
final class Generation {
    private static final int DEFAULT_MAX_TOKENS = 32;
    private static final int VOCABULARY_SIZE = 9973;

    private final HttpCall call;
    private final JsonNode request;
    private final String prompt;
    private final int maxTokens;
    private final boolean streamed;
    private final int resumedFromToken;
    private final StringBuilder text = new StringBuilder();
    private int generatedTokens;
    private int prefillSteps;
    private boolean streamStarted;
    private volatile boolean disconnected;

    Generation(HttpCall call, JsonNode request, int resumedFromToken) {
        this.call = call;
        this.request = request;
        this.prompt = promptOf(request);
        this.maxTokens = request.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
        this.streamed = request.path("stream").asBoolean(false);
        this.resumedFromToken = resumedFromToken;
        this.generatedTokens = resumedFromToken;
        call.onDisconnect(() -> disconnected = true);
    }

    /** Returns the token at an index of the answer to a prompt. */
    static String token(String prompt, int index) {
        long hash = Hashing.komihash5_0().hashCharsToLong(prompt + "\0" + index);
        return "w" + Long.remainderUnsigned(hash, VOCABULARY_SIZE) + " ";
    }

    /** Returns the complete answer to a prompt. */
    static String answer(String prompt, int tokens) {
        StringBuilder answer = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            answer.append(token(prompt, i));
        }
        return answer.toString();
    }

    static String promptOf(JsonNode request) {
        if (request.has("prompt")) {
            return request.path("prompt").asText();
        }
        StringBuilder prompt = new StringBuilder();
        request.path("messages")
                .forEach(message ->
                        prompt.append(message.path("content").asText()).append('\n'));
        return prompt.toString();
    }

    String prompt() {
        return prompt;
    }

    boolean isDisconnected() {
        return disconnected;
    }

    /** Returns whether the prompt is processed and all tokens are generated; a resumed answer may need no tokens. */
    boolean isDone() {
        return prefillSteps == 0 && generatedTokens >= maxTokens;
    }

    HttpCall call() {
        return call;
    }

    void setPrefillSteps(int steps) {
        prefillSteps = steps;
    }

    /** Executes one step: processes a part of the prompt or generates one token. */
    void step() {
        if (prefillSteps > 0) {
            prefillSteps--;
            return;
        }
        if (streamed && !streamStarted) {
            streamStarted = true;
            call.beginStream(200, Map.of("content-type", "text/event-stream"));
        }
        if (isDone()) {
            return;
        }
        String token = token(prompt, generatedTokens);
        generatedTokens++;
        text.append(token);
        if (streamed) {
            writeEvent(Optional.of(token), isDone() ? Optional.of("stop") : Optional.empty());
        }
    }

    /** Closes the stream without the {@code [DONE]} event if half of it is generated; returns whether it was closed. */
    boolean tryEndEarly() {
        boolean halfGenerated = streamed && generatedTokens > resumedFromToken && 2 * generatedTokens >= maxTokens;
        if (halfGenerated) {
            call.endStream();
        }
        return halfGenerated;
    }

    void finish() {
        if (streamed) {
            if (!streamStarted) {
                call.beginStream(200, Map.of("content-type", "text/event-stream"));
            }
            call.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
            call.endStream();
            return;
        }
        ObjectNode answer = Json.object().put("object", "chat.completion");
        ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("text", text.toString()).put("finish_reason", "stop");
        answer.putObject("usage").put("completion_tokens", generatedTokens);
        answer.put("model", request.path("model").asText());
        StandinHttp.replyJson(call, 200, answer);
    }

    private void writeEvent(Optional<String> content, Optional<String> finishReason) {
        ObjectNode event = Json.object().put("object", "chat.completion.chunk");
        ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        content.ifPresent(token -> delta.put("content", token));
        content.ifPresent(token -> choice.put("text", token));
        choice.put("finish_reason", finishReason.orElse(null));
        call.write(("data: " + Json.text(event) + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
