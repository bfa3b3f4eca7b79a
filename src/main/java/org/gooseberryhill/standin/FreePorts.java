package org.gooseberryhill.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.gooseberryhill.link.Address;

/**
 * Allocates free loopback addresses. Thread-safe.
 *
 * <p>A port chosen by the operating system is unsuitable: between the closing of the probing socket and the start of
 * the listener, an outgoing connection can get the same port, and the listener fails because the port is in use. The
 * ports allocated here lie below the range that the operating system assigns to outgoing connections.
 *
 * <p>Invariant: no two running processes are allocated the same port. Ports are allocated in blocks, and a process
 * listens at a guard port next to each of its blocks until it exits.
 */
public final class FreePorts {
    /** Number of ports in a block. */
    public static final int BLOCK_PORTS = 100;

    private static final int FIRST_PORT = 10_000;
    private static final int BLOCKS = 220;

    /** Ports of a block and its guard port. */
    private static final int BLOCK_STRIDE = BLOCK_PORTS + 1;

    /** Processes with adjacent ids start at blocks this far apart, so that they rarely try the same ones. */
    private static final int START_BLOCK_STEP = 37;

    private static final List<ServerSocket> HELD_CLAIMS = new ArrayList<>();
    private static int nextBlock = (int) (ProcessHandle.current().pid() * START_BLOCK_STEP % BLOCKS);
    private static int blockFirstPort;
    private static int portsUsedInBlock = BLOCK_PORTS;

    private FreePorts() {}

    /** Returns an address that was not allocated before and at which nothing listens at the time of the call. */
    public static synchronized Address nextAddress() {
        int port = nextPortInBlock();
        while (!isFree(port)) {
            port = nextPortInBlock();
        }
        return new Address("127.0.0.1", port);
    }

    /**
     * Returns the first of {@link #BLOCK_PORTS} ports that were not allocated before and at which nothing listens at
     * the time of the call.
     */
    public static synchronized int claimBlock() {
        for (int attempt = 0; attempt < BLOCKS; attempt++) {
            int firstPort = FIRST_PORT + Math.floorMod(nextBlock++, BLOCKS) * BLOCK_STRIDE;
            Optional<ServerSocket> claim = claim(firstPort);
            if (claim.isPresent()) {
                HELD_CLAIMS.add(claim.get());
                if (IntStream.range(firstPort, firstPort + BLOCK_PORTS).allMatch(FreePorts::isFree)) {
                    return firstPort;
                }
            }
        }
        throw new IllegalStateException("no block of " + BLOCK_PORTS + " free loopback ports found");
    }

    /** Claims a block until the returned socket is closed; empty if this or another process holds the block. */
    static Optional<ServerSocket> claim(int firstPort) {
        return listen(firstPort + BLOCK_PORTS);
    }

    private static int nextPortInBlock() {
        if (portsUsedInBlock == BLOCK_PORTS) {
            blockFirstPort = claimBlock();
            portsUsedInBlock = 0;
        }
        return blockFirstPort + portsUsedInBlock++;
    }

    /** Returns whether nothing listens at a loopback port. */
    private static boolean isFree(int port) {
        Optional<ServerSocket> socket = listen(port);
        socket.ifPresent(FreePorts::close);
        return socket.isPresent();
    }

    private static Optional<ServerSocket> listen(int port) {
        try {
            return Optional.of(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        } catch (IOException e) {
            // The port is in use.
            return Optional.empty();
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
