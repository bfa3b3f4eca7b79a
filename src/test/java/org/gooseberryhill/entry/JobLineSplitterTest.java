package org.gooseberryhill.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class JobLineSplitterTest {
    private final JobLineSplitter splitter = new JobLineSplitter(50_000, 100);

    @Test
    void itemsAreTheSameForAnyPieceSizeOfTheBody() {
        byte[] body = bytes("{\"prompt\":\"é\"}\n\n  {\"prompt\":\"b\"}\r\n{\"messages\":[]}");
        for (int size = 1; size < body.length; size++) {
            JobLineSplitter pieceSplitter = new JobLineSplitter(10, 100);
            List<String> items = new ArrayList<>();
            for (int from = 0; from < body.length; from += size) {
                items.addAll(pieceSplitter.read(Arrays.copyOfRange(body, from, Math.min(body.length, from + size))));
            }
            items.addAll(pieceSplitter.end());
            assertThat(items).containsExactly("{\"prompt\":\"é\"}", "{\"prompt\":\"b\"}", "{\"messages\":[]}");
        }
    }

    @Test
    void anErrorFarIntoTheBodyIsReportedWithItsLineNumber() {
        splitter.read(bytes("{\"prompt\":\"a\"}\n".repeat(39_999)));
        splitter.read(bytes("{\"prompt\":\n"));

        assertThat(splitter.findings()).singleElement().asString().startsWith("line 40000: not valid JSON");
    }

    @Test
    void allKindsOfErrorsAreReported() {
        splitter.read(bytes("[1]\n{\"x\":1}\n" + "y".repeat(200) + "\n"));

        assertThat(splitter.findings())
                .containsExactly(
                        "line 1: a JSON object is expected",
                        "line 2: neither \"messages\" nor \"prompt\" is there",
                        "line 3: longer than 100 bytes");
    }

    @Test
    void moreItemsThanAllowedAreReportedAsAnError() {
        JobLineSplitter limitedSplitter = new JobLineSplitter(2, 100);
        limitedSplitter.read(bytes("{\"prompt\":\"a\"}\n".repeat(3)));

        assertThat(limitedSplitter.findings()).containsExactly("line 3: more than 2 items");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
