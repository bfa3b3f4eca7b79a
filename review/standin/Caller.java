package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A sound HTTP/1.1 client with one new connection for each request. Stateless. */
final class Caller {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private Caller() {}

    /**
     * The end of a request as its client saw it.
     *
     * @param status the status; 0 if the connection ended before an answer, -1 if nothing came in time
     */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, long millis) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Sends a request and reads its answer; gives up after a time in milliseconds. */
    static Answer call(
            String ip, int port, String method, String target, Map<String, String> headers, byte[] body, int waitMillis) {
        long startNanos = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), CONNECT_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            message.writeBytes(body);
            socket.getOutputStream().write(message.toByteArray());
            return read(socket, startNanos, waitMillis);
        } catch (SocketTimeoutException e) {
            return new Answer(-1, Map.of(), new byte[0], false, since(startNanos));
        } catch (IOException e) {
            return new Answer(0, Map.of(), new byte[0], false, since(startNanos));
        }
    }

    private static Answer read(Socket socket, long startNanos, int waitMillis) throws IOException {
        TimedInput in = new TimedInput(socket, startNanos, waitMillis);
        String statusLine = in.line();
        if (statusLine == null) {
            return new Answer(0, Map.of(), new byte[0], false, since(startNanos));
        }
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String line = in.line(); line != null && !line.isEmpty(); line = in.line()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            complete = in.chunks(body);
        } else {
            complete = in.bytes(body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        return new Answer(status, headers, body.toByteArray(), complete, since(startNanos));
    }

    private static long since(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Reads from a socket until a time limit. */
    private static final class TimedInput {
        private final Socket socket;
        private final InputStream in;
        private final long startNanos;
        private final int waitMillis;

        TimedInput(Socket socket, long startNanos, int waitMillis) throws IOException {
            this.socket = socket;
            this.in = new java.io.BufferedInputStream(socket.getInputStream());
            this.startNanos = startNanos;
            this.waitMillis = waitMillis;
        }

        private int read() throws IOException {
            long left = waitMillis - since(startNanos);
            if (left <= 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) left);
            return in.read();
        }

        String line() throws IOException {
            StringBuilder line = new StringBuilder();
            int next = read();
            if (next < 0) {
                return null;
            }
            while (next >= 0 && next != '\n') {
                if (next != '\r') {
                    line.append((char) next);
                }
                next = read();
            }
            return line.toString();
        }

        boolean bytes(ByteArrayOutputStream body, int count) throws IOException {
            for (int i = 0; i < count; i++) {
                int next = read();
                if (next < 0) {
                    return false;
                }
                body.write(next);
            }
            return true;
        }

        boolean chunks(ByteArrayOutputStream body) throws IOException {
            while (true) {
                String size = line();
                if (size == null || size.isEmpty()) {
                    return false;
                }
                int count = Integer.parseInt(size.split(";")[0].strip(), 16);
                if (!bytes(body, count)) {
                    return false;
                }
                if (line() == null) {
                    return false;
                }
                if (count == 0) {
                    return true;
                }
            }
        }
    }
}
