package org.gooseberryhill.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTreesTest {
    private static final int WARM_UP_ROUNDS = 20_000;
    private static final long SMALL_STACK_BYTES = 256 * 1024;

    /** Compares the results with those of Jackson's {@code ObjectMapper}. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "{\"a\":[1,-2,3000000000,123456789012345678901234567890],\"b\":{\"c\":null,\"d\":true,\"e\":false}}",
                "{\"f\":1.5,\"g\":1e300,\"h\":\"text \\\"quoted\\\" \\n \\u00e4\"}",
                "\"text\"",
                "7",
                "[[[[]]]]"
            })
    void treesAreReadAndWrittenAsByTheObjectMapper(String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        JsonNode expected = Json.mapper().readTree(bytes);

        JsonNode tree = JsonTrees.read(bytes);

        assertThat(tree).isEqualTo(expected);
        assertThat(JsonTrees.write(tree)).isEqualTo(Json.mapper().writeValueAsBytes(expected));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "   ", "{", "{\"a\":", "[1,", "{\"a\" 1}", "nul", "{\"a\":1}}x{"})
    void malformedJsonFailsUnlessItBeginsWithACompleteValue(String json) {
        boolean read = Json.tree(json.getBytes(StandardCharsets.UTF_8)).isSuccess();

        assertThat(read).isEqualTo(json.startsWith("{\"a\":1}"));
    }

    @Test
    void aDeeplyNestedTreeIsRejectedWithoutStackOverflow() {
        byte[] deep = "[".repeat(100_000).getBytes(StandardCharsets.UTF_8);

        assertThat(Json.tree(deep).isFailure()).isTrue();
    }

    /** Guards against a stack overflow in compiled code, whose frames are larger than those of a cold parser. */
    @Test
    void aWarmParserReadsDeeplyNestedTreesOnASmallStack() throws InterruptedException {
        byte[] shallow = nested(JsonTrees.MAX_NESTING_DEPTH / 2);
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            assertThat(Json.tree(shallow).isSuccess()).isTrue();
        }
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Thread reader = new Thread(null, JsonTreesTest::readNestedTrees, "small-stack", SMALL_STACK_BYTES);
        reader.setUncaughtExceptionHandler((thread, thrown) -> failure.set(thrown));
        reader.start();
        reader.join();

        assertThat(failure.get()).isNull();
    }

    /** Guards against a stack overflow where a value that the mapper has read is written or compared. */
    @Test
    void theMapperRejectsTreesThatAreNestedTooDeep() {
        assertThat(Json.read(nested(JsonTrees.MAX_NESTING_DEPTH), JsonNode.class)
                        .isSuccess())
                .isTrue();
        assertThat(Json.read(nested(JsonTrees.MAX_NESTING_DEPTH + 1), JsonNode.class)
                        .isFailure())
                .isTrue();
    }

    /** Guards against settings and entries that are refused because their editor marks the encoding. */
    @Test
    void aByteOrderMarkIsSkipped() {
        byte[] marked = "\ufeff{\"a\":1}".getBytes(StandardCharsets.UTF_8);

        assertThat(Json.tree(marked).get().path("a").asInt()).isEqualTo(1);
        assertThat(Json.read(marked, JsonNode.class).isSuccess()).isTrue();
    }

    @Test
    void textInAnotherEncodingThanUtf8IsRejected() {
        assertThat(Json.tree("{}".getBytes(StandardCharsets.UTF_16BE)).isFailure())
                .isTrue();
    }

    private static void readNestedTrees() {
        for (int depth : List.of(1, JsonTrees.MAX_NESTING_DEPTH)) {
            JsonNode tree = Json.tree(nested(depth)).get();
            assertThat(tree.equals(Json.tree(nested(depth)).get())).isTrue();
            assertThat(tree.hashCode()).isNotZero();
            assertThat(Json.bytes(tree)).isEqualTo(nested(depth));
        }
        for (int depth : List.of(990, JsonTrees.MAX_NESTING_DEPTH + 1, 5_000, 1_000_000)) {
            assertThat(Json.tree(nested(depth)).isFailure()).isTrue();
        }
    }

    private static byte[] nested(int depth) {
        int objects = depth / 2;
        String text = "[".repeat(depth - objects) + "{\"a\":".repeat(objects) + "1" + "}".repeat(objects)
                + "]".repeat(depth - objects);
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
