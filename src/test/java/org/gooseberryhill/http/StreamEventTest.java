package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class StreamEventTest {
    @Test
    void anEventExposesItsIdAndData() {
        StreamEvent event = event("id: 17\nevent: token\ndata: a word\n\n");

        assertThat(event.id()).contains(17L);
        assertThat(event.data()).isEqualTo("a word");
    }

    @Test
    void dataLinesAreJoinedByLineFeeds() {
        assertThat(event("data: first\ndata:second\r\ndata:\r\n\r\n").data()).isEqualTo("first\nsecond\n");
    }

    @Test
    void onlyOneSpaceAfterTheColonIsRemoved() {
        assertThat(event("data:  indented \n\n").data()).isEqualTo(" indented ");
    }

    @Test
    void anIdThatIsNotAWholeNumberIsIgnored() {
        assertThat(event("id: seven\ndata: x\n\n").id()).isEmpty();
        assertThat(event("id:\ndata: x\n\n").id()).isEmpty();
        assertThat(event("id: 99999999999999999999\n\n").id()).isEmpty();
    }

    @Test
    void theLastOfSeveralIdsIsUsed() {
        assertThat(event("id: 1\nid: 2\n\n").id()).contains(2L);
    }

    @Test
    void anEventWithoutFieldsHasNoIdAndNoData() {
        assertThat(event(": a comment\n\n").id()).isEmpty();
        assertThat(event(": a comment\n\n").data()).isEmpty();
    }

    private static StreamEvent event(String text) {
        return new StreamEvent(text.getBytes(StandardCharsets.UTF_8));
    }
}
