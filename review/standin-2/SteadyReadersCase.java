package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients with kept connections get an answer of ten megabytes from a sound runner, and read it without a pause: as fast as it comes, or,
 * with the disruption, steadily at 32 Mbit/s.
 */
final class SteadyReadersCase implements Main.Case {
    private static final int CLIENTS = 12;
    private static final int ANSWER_BYTES = 10_000_000;
    private static final int BYTES_PER_SECOND = 4_000_000;
    private static final int PIECE_BYTES = 32 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;

    /** Below the timeout of the route and the deadline, which are 10 s. */
    private static final int SILENCE_MILLIS = 8000;

    /** The rule: more than three times. */
    private static final int ALLOWED_CUTS = 3;

    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();

    @Override
    public boolean run(Deployment deployment, boolean trouble) throws Exception {
        Recorder record = deployment.record();
        deployment.configure(4_194_304);
        for (int i = 0; i < 3; i++) {
            new PlainRunner("i-0000000" + i, record).register(deployment, "tas-" + "abc".charAt(i));
        }
        deployment.start(3, 3);
        deployment.requireReady();
        // The machines are in touch three seconds after their start.
        Deployment.sleep(5000);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        Random random = new Random(64);
        for (int i = 0; i < CLIENTS; i++) {
            String first = Lots.hex(random);
            String second = Lots.hex(random);
            Child gateway = deployment.gateways.get(i % deployment.gateways.size());
            long delayMillis = i * 1500L;
            Thread client = new Thread(() -> {
                Deployment.sleep(delayMillis);
                call(record, gateway, first, second, trouble ? BYTES_PER_SECOND : 0);
                done.countDown();
            });
            client.start();
        }
        done.await(60, TimeUnit.SECONDS);
        String result = "answers read whole " + whole + ", cut by the gateway " + cut + ", others " + others;
        record.write(result);
        System.out.println(result);
        if (whole.get() + cut.get() <= ALLOWED_CUTS) {
            throw new IllegalStateException("hardly a request was answered");
        }
        return cut.get() > ALLOWED_CUTS;
    }

    private void call(Recorder record, Child gateway, String first, String second, int bytesPerSecond) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(gateway.front.ip(), gateway.front.port()), 1000);
            socket.setSoTimeout(SILENCE_MILLIS);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 8192);
            String outcome = exchange(socket, in, first, 800, 0);
            record.write("request " + first + " at " + gateway.name + ", answer of 800 bytes: " + outcome);
            double from = record.seconds();
            outcome = exchange(socket, in, second, ANSWER_BYTES, bytesPerSecond);
            record.write(String.format(
                    "request %s at %s, answer of %d bytes: %s, after %.2f s",
                    second, gateway.name, ANSWER_BYTES, outcome, record.seconds() - from));
            if (outcome.equals("whole")) {
                whole.incrementAndGet();
            } else if (outcome.startsWith("cut")) {
                cut.incrementAndGet();
            } else {
                others.incrementAndGet();
            }
        } catch (IOException e) {
            record.write("request " + second + " at " + gateway.name + ": " + e);
            others.incrementAndGet();
        }
    }

    private static String exchange(Socket socket, InputStream in, String id, int size, int bytesPerSecond)
            throws IOException {
        String request = "GET " + Deployment.SAFE_PREFIX + "2f/size/" + size + " HTTP/1.1\r\nHost: " + Deployment.HOST
                + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 10000\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        long startNanos = System.nanoTime();
        long got = 0;
        try {
            List<String> head = new ArrayList<>();
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                head.add(line);
            }
            if (!head.get(0).contains(" 200 ")) {
                return "status " + head.get(0);
            }
            byte[] piece = new byte[PIECE_BYTES];
            while (got < size) {
                int read = in.read(piece, 0, (int) Math.min(PIECE_BYTES, size - got));
                if (read < 0) {
                    return "cut by a close after " + got + " bytes";
                }
                for (int i = 0; i < read; i++) {
                    if (piece[i] != PlainRunner.expected(id, got + i)) {
                        return "wrong byte at " + (got + i);
                    }
                }
                got += read;
                if (bytesPerSecond > 0) {
                    long dueNanos = startNanos + got * 1_000_000_000L / bytesPerSecond;
                    long leftMillis = (dueNanos - System.nanoTime()) / 1_000_000;
                    if (leftMillis > 0) {
                        Deployment.sleep(leftMillis);
                    }
                }
            }
            return "whole";
        } catch (EOFException | SocketException e) {
            return "cut, " + e.getMessage() + " after " + got + " bytes";
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
