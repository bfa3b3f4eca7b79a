package org.gooseberryhill.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTreesTest {
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
}
