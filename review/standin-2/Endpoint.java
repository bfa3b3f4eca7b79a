package review2;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.gooseberryhill.link.Address;

/** A loopback address and port. Immutable. */
record Endpoint(String ip, int port) {
    private static final String IP = "127.0.0.1";

    /** Returns an endpoint at which nothing listened when it was chosen. */
    static Endpoint free() {
        return new Endpoint(IP, freePorts(1).get(0));
    }

    /** Returns ports at which nothing listened when they were chosen. */
    static List<Integer> freePorts(int count) {
        List<ServerSocket> open = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(IP));
                open.add(socket);
                ports.add(socket.getLocalPort());
            }
            for (ServerSocket socket : open) {
                socket.close();
            }
            return ports;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Address address() {
        return Address.parse(toString()).orElseThrow();
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
