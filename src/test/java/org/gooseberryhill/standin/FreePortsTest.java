package org.gooseberryhill.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.Loopback;
import org.junit.jupiter.api.Test;

class FreePortsTest {
    /** Guards against a test that listens at a port which another process on the machine was allocated as well. */
    @Test
    void aBlockOfARunningProcessIsNotAllocatedByAnother() throws IOException {
        Process otherProcess = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        OtherProcess.class.getName())
                .start();
        try (BufferedReader output =
                new BufferedReader(new InputStreamReader(otherProcess.getInputStream(), StandardCharsets.UTF_8))) {
            int firstPort = Integer.parseInt(output.readLine());

            assertThat(FreePorts.claim(firstPort)).isEmpty();

            otherProcess.destroyForcibly().onExit().join();
            Loopback.await("the release of the block", () -> {
                Optional<ServerSocket> claim = FreePorts.claim(firstPort);
                claim.ifPresent(FreePortsTest::close);
                return claim.isPresent();
            });
        } finally {
            otherProcess.destroyForcibly();
        }
    }

    @Test
    void aBlockIsNotAllocatedTwice() {
        assertThat(FreePorts.claim(FreePorts.claimBlock())).isEmpty();
    }

    @Test
    void noAddressIsAllocatedTwice() {
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < 2 * FreePorts.BLOCK_PORTS; i++) {
            ports.add(FreePorts.nextAddress().port());
        }

        assertThat(ports).hasSize(2 * FreePorts.BLOCK_PORTS);
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Claims a block and holds it until the process ends. */
    static final class OtherProcess {
        private OtherProcess() {}

        public static void main(String... arguments) throws IOException {
            System.out.println(FreePorts.claimBlock());
            System.in.read();
        }
    }
}
