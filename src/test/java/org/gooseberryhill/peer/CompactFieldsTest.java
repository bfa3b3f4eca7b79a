package org.gooseberryhill.peer;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

class CompactFieldsTest {
    /** Guards against an allocation that ends the process because a damaged field announces gigabytes. */
    @Test
    void aFieldThatAnnouncesMoreBytesThanAFrameIsRejected() throws IOException {
        byte[] header = {(byte) 0xc6, Byte.MAX_VALUE, -1, -1, -1};
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(header)) {
            assertThatThrownBy(() -> CompactFields.readBytes(unpacker)).isInstanceOf(IOException.class);
        }
    }
}
