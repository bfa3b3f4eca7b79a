package org.gooseberryhill.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhill.MutatedBytes;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.HybridTimestamp;

class PeerCodecProperties {
    private static final List<PeerMessage> MESSAGES = Stream.of(
                    PeerCodecTest.messages(),
                    PeerCodecTest.gatewayMessages(),
                    PeerCodecTest.coordinationMessages(),
                    PeerCodecTest.zoneMessages(),
                    PeerCodecTest.accountUseMessages().stream(),
                    PeerCodecTest.quarantineMessages())
            .flatMap(messages -> messages)
            .toList();

    /** Guards against a message of another host that ends the connection, or the thread that serves all connections. */
    @Property
    void theFrameAfterAMutatedOneIsRead(@ForAll Random random) throws IOException {
        EmbeddedChannel connection = new EmbeddedChannel();
        PeerCodec.addTo(connection.pipeline(), new PeerTraffic());
        for (PeerMessage message : MESSAGES) {
            write(connection, MutatedBytes.of(encode(1, message), random));
            connection.inboundMessages().clear();

            write(connection, encode(2, new PeerMessage.Ack()));

            assertThat(connection.<PeerFrame>readInbound().number()).isEqualTo(2);
        }
        connection.checkException();
    }

    private static byte[] encode(long number, PeerMessage message) throws IOException {
        return PeerCodec.encode(
                new PeerFrame(number, false, HybridTimestamp.ofMillis(1000), new HostId("host"), message));
    }

    private static void write(EmbeddedChannel connection, byte[] frame) {
        connection.writeInbound(Unpooled.buffer().writeInt(frame.length).writeBytes(frame));
    }
}
