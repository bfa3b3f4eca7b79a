package org.gooseberryhill.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class JsonLengthTest {
    /** Guards against a length that is computed in another way than the text is written. */
    @Property
    void lengthIsThatOfTheWrittenText(@ForAll byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);

        assertThat(JsonLength.of(text)).isEqualTo(Json.bytes(new TextNode(text)).length);
    }

    @Example
    void eachKindOfCharacterHasItsLength() {
        for (String text :
                new String[] {"a", "\"", "\\", "\n", "\u0001", "\u007f", "\u0639", "\u8a9e", "\ud83d\ude00"}) {
            assertThat(JsonLength.of(text)).as(text).isEqualTo(Json.bytes(new TextNode(text)).length);
        }
    }
}
