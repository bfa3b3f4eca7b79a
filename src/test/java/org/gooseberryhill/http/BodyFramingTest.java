package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

/** Tests how the end of a response body is recognised by its head. */
class BodyFramingTest {
    @Test
    void aLastChunkEndsABodyInChunks() {
        HttpHeaders headers = new DefaultHttpHeaders().set("transfer-encoding", "gzip, Chunked");

        assertThat(BodyFraming.of(200, headers)).isEqualTo(BodyFraming.CHUNKED);
    }

    @Test
    void anAnnouncedLengthEndsABody() {
        HttpHeaders headers = new DefaultHttpHeaders().set("content-length", 0);

        assertThat(BodyFraming.of(200, headers)).isEqualTo(BodyFraming.LENGTH);
    }

    @Test
    void aStatusWithoutABodyNeedsNoLength() {
        assertThat(BodyFraming.of(204, new DefaultHttpHeaders())).isEqualTo(BodyFraming.LENGTH);
        assertThat(BodyFraming.of(304, new DefaultHttpHeaders())).isEqualTo(BodyFraming.LENGTH);
    }

    @Test
    void anyOtherBodyEndsWithItsConnection() {
        HttpHeaders headers = new DefaultHttpHeaders().set("content-type", "text/event-stream");

        assertThat(BodyFraming.of(200, headers)).isEqualTo(BodyFraming.CONNECTION_CLOSE);
    }
}
