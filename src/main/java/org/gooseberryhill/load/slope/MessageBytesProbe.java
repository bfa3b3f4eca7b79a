package org.gooseberryhill.load.slope;

import java.util.List;
import java.util.function.IntFunction;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.peer.PeerMessageSize;

/** The bytes of a peer message with a number of entries, framing included. Stateless. */
final class MessageBytesProbe implements SlopeProbe {
    private final String name;
    private final String varied;
    private final IntFunction<PeerMessage> builder;

    MessageBytesProbe(String name, String varied, IntFunction<PeerMessage> builder) {
        this.name = name;
        this.varied = varied;
        this.builder = builder;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String unit() {
        return "bytes";
    }

    @Override
    public String varied() {
        return varied;
    }

    @Override
    public List<Integer> sizes() {
        return List.of(0, 1, 2, 4, 8);
    }

    @Override
    public double measure(int size) {
        return PeerMessageSize.bytes(builder.apply(size));
    }
}
