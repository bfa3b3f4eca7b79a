package org.gooseberryhill.outbox;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class OutboxEntryCodecTest {
    /** Guards against an allocation that ends the process because a field announces gigabytes. */
    @Test
    void aFieldThatAnnouncesMoreBytesThanItsFileIsRejected() {
        byte[] content = {(byte) 0xa1, 'b', 77, (byte) 0xc6, Byte.MAX_VALUE, -1, -1, -1};

        assertThat(OutboxEntryCodec.read(content).getCause()).isInstanceOf(IOException.class);
    }
}
