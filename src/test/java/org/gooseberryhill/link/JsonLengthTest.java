package org.gooseberryhill.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class JsonLengthTest {
    /** Guards against a length that is computed in another way than the text is written. */
    @Property
    void lengthIsThatOfTheWrittenText(@ForAll byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);

        assertThat(JsonLength.of(text)).isEqualTo(Json.bytes(new TextNode(text)).length);
    }

    /** Guards against parts that are too large, and against characters that are torn or left out between them. */
    @Property
    void partsOfATextFitAndMakeItUpTogether(@ForAll byte[] bytes, @ForAll @IntRange(min = 12, max = 40) int maxBytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        StringBuilder joined = new StringBuilder();
        while (joined.length() < text.length()) {
            int end = JsonLength.endOfPart(text, joined.length(), maxBytes);
            String part = text.substring(joined.length(), end);

            assertThat(JsonLength.of(part) - 2).isBetween(1, maxBytes);
            assertThat(new String(part.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8))
                    .isEqualTo(part);
            joined.append(part);
        }
        assertThat(joined.toString()).isEqualTo(text);
    }

    @Example
    void eachKindOfCharacterHasItsLength() {
        for (String text :
                new String[] {"a", "\"", "\\", "\n", "\u0001", "\u007f", "\u0639", "\u8a9e", "\ud83d\ude00"}) {
            assertThat(JsonLength.of(text)).as(text).isEqualTo(Json.bytes(new TextNode(text)).length);
        }
    }
}
