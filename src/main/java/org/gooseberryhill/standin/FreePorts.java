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
 * Addresses on loopback that nothing listens at. Thread-safe.
 *
 * <p>Failure: a port that the operating system chose is closed and to be listened at a moment later; meanwhile a connection
 * that somebody makes gets just this port, and the listener finds it in use. The ports here lie below those that the
 * operating system gives to connections.
 *
 * <p>Invariant: no two processes are given the same port while both run. Ports are given out in blocks, and a process listens
 * at a port beside each block of its own as long as it runs.
 */
public final class FreePorts {
    /** How many ports a block has. */
    public static final int BLOCK_PORTS = 100;

    private static final int FIRST_PORT = 10_000;
    private static final int BLOCKS = 220;

    /** A block and the port that shows that it is taken. */
    private static final int BLOCK_STRIDE = BLOCK_PORTS + 1;

    /** Processes begin at different blocks, so that they seldom try each other's. */
    private static final int BLOCKS_PER_PROCESS = 37;

    private static final List<ServerSocket> CLAIMS = new ArrayList<>();
    private static int nextBlock = (int) (ProcessHandle.current().pid() * BLOCKS_PER_PROCESS % BLOCKS);
    private static int blockFirstPort;
    private static int givenOfBlock = BLOCK_PORTS;

    private FreePorts() {}

    /** An address that was given to nobody else and that nothing listened at just now. */
    public static synchronized Address next() {
        int port = nextOfBlock();
        while (!isFree(port)) {
            port = nextOfBlock();
        }
        return new Address("127.0.0.1", port);
    }

    /** The first of {@link #BLOCK_PORTS} ports that were given to nobody else and that nothing listened at just now. */
    public static synchronized int block() {
        for (int tries = 0; tries < BLOCKS; tries++) {
            int firstPort = FIRST_PORT + Math.floorMod(nextBlock++, BLOCKS) * BLOCK_STRIDE;
            Optional<ServerSocket> claim = claim(firstPort);
            if (claim.isPresent()) {
                CLAIMS.add(claim.get());
                if (IntStream.range(firstPort, firstPort + BLOCK_PORTS).allMatch(FreePorts::isFree)) {
                    return firstPort;
                }
            }
        }
        throw new IllegalStateException("no free ports");
    }

    /** Claims a block as long as the socket is open; empty if another process, or this one, has it. */
    static Optional<ServerSocket> claim(int firstPort) {
        return listen(firstPort + BLOCK_PORTS);
    }

    private static int nextOfBlock() {
        if (givenOfBlock == BLOCK_PORTS) {
            blockFirstPort = block();
            givenOfBlock = 0;
        }
        return blockFirstPort + givenOfBlock++;
    }

    /** Whether nothing listens at a port of loopback now. */
    private static boolean isFree(int port) {
        Optional<ServerSocket> socket = listen(port);
        socket.ifPresent(FreePorts::close);
        return socket.isPresent();
    }

    private static Optional<ServerSocket> listen(int port) {
        try {
            return Optional.of(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        } catch (IOException e) {
            // Somebody listens there: that is the answer.
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
