package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a runner, written from the users' pages. It runs {@code slots} requests at once and queues some more, answers
 * 421 to a request for another runner, and serves its health path. What a run answers is decided by its {@link Behaviour}.
 */
final class Runner implements AutoCloseable {
    private static final int QUEUE = 24;
    private static final int QUEUE_WAIT_MILLIS = 5000;

    /** A request as a runner got it. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("x-request-id", "");
        }

        long lastEventId() {
            return Long.parseLong(headers.getOrDefault("last-event-id", "0"));
        }
    }

    /** Answers a request that has begun to run. Throws {@link IOException} if the connection has ended. */
    @FunctionalInterface
    interface Behaviour {
        /** Returns whether the connection may be kept. */
        boolean run(Runner runner, Request request, OutputStream out) throws IOException, InterruptedException;
    }

    final String id;
    final String ip;
    final int port;
    private final int slots;
    private final Recorder recorder;
    private final Behaviour behaviour;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;

    /** When the runner started, as its registration says. */
    volatile long bornMillis = System.currentTimeMillis();

    /** False while the runner is down. */
    volatile boolean alive = true;

    private final Semaphore free;
    private final Semaphore places;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "runner");
        thread.setDaemon(true);
        return thread;
    });

    Runner(String id, String ip, int slots, Recorder recorder, Behaviour behaviour) throws IOException {
        this.id = id;
        this.ip = ip;
        this.slots = slots;
        this.recorder = recorder;
        this.behaviour = behaviour;
        this.free = new Semaphore(slots, true);
        this.places = new Semaphore(slots + QUEUE);
        this.server = new ServerSocket(0, 200, InetAddress.getByName(ip));
        this.port = server.getLocalPort();
        threads.execute(this::accept);
    }

    int slots() {
        return slots;
    }

    /** Crashes: resets all connections, refuses new ones and reports nothing, and is back after some time. */
    void crash(long downMillis) throws IOException, InterruptedException {
        recorder.tell("%s crashes", id);
        alive = false;
        server.close();
        for (Socket socket : connections) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        Thread.sleep(downMillis);
        ServerSocket next = new ServerSocket();
        next.setReuseAddress(true);
        next.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
        server = next;
        bornMillis = System.currentTimeMillis();
        alive = true;
        threads.execute(this::accept);
    }

    private void accept() {
        ServerSocket listening = server;
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                connections.add(socket);
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean keep = true;
            while (keep) {
                Request request = readRequest(in);
                if (request == null) {
                    return;
                }
                keep = answer(request, out);
            }
        } catch (IOException e) {
            // The caller has left.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(socket);
        }
    }

    private boolean answer(Request request, OutputStream out) throws IOException, InterruptedException {
        if (request.target().equals("/healthz")) {
            reply(out, 200, "X-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        String expected = request.headers().getOrDefault("x-expect-instance", id);
        String echo = "X-Request-Id: " + request.id() + "\r\n";
        if (!expected.equals(id)) {
            reply(out, 421, echo + "X-Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        if (!places.tryAcquire()) {
            reply(out, 503, echo + "X-Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        try {
            if (!free.tryAcquire(QUEUE_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                reply(out, 503, echo + "X-Not-Executed: 1\r\n", new byte[0]);
                return true;
            }
            try {
                recorder.write("run %s at %s after %d", request.id(), id, request.lastEventId());
                boolean keep = behaviour.run(this, request, out);
                recorder.write("run of %s at %s has ended", request.id(), id);
                return keep;
            } finally {
                free.release();
            }
        } finally {
            places.release();
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return new Request(words[0], words[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }

    /** Writes a whole answer with a length. */
    static void reply(OutputStream out, int status, String headers, byte[] body) throws IOException {
        java.io.ByteArrayOutputStream message = new java.io.ByteArrayOutputStream();
        message.writeBytes(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(body);
        out.write(message.toByteArray());
    }

    /** Returns the headers that a run's answer bears. */
    String runHeaders(Request request) {
        return "X-Request-Id: " + request.id() + "\r\nX-Server-Stamp: " + id + "." + request.id()
                + "\r\nX-Instance-Id: " + id + "\r\n";
    }

    /** Begins a stream of events in chunks. */
    void beginStream(Request request, OutputStream out) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\n" + runHeaders(request)
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    static void chunk(OutputStream out, byte[] bytes) throws IOException {
        java.io.ByteArrayOutputStream chunk = new java.io.ByteArrayOutputStream();
        chunk.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        chunk.writeBytes(bytes);
        chunk.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.write(chunk.toByteArray());
    }

    static void event(OutputStream out, long number, String data) throws IOException {
        chunk(out, ("id: " + number + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    static void endStream(OutputStream out) throws IOException {
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
        threads.shutdownNow();
    }
}
