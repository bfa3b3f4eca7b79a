package org.gooseberryhill.http;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhill.link.Address;

/** An endpoint that answers every request with given bytes and then closes the connection, regardless of HTTP. */
final class RawEndpoint implements Closeable {
    private final ServerSocket listener;
    private final byte[] answer;
    private final boolean reset;
    private final AtomicInteger requests = new AtomicInteger();

    RawEndpoint(byte[] answer, boolean reset) throws IOException {
        this.answer = answer;
        this.reset = reset;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve, "raw-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    int requests() {
        return requests.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void serve() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                readHead(socket.getInputStream());
                requests.incrementAndGet();
                socket.getOutputStream().write(answer);
                socket.getOutputStream().flush();
                if (reset) {
                    socket.setSoLinger(true, 0);
                }
            } catch (IOException e) {
                // The listener is closed, or this connection failed: wait for the next one.
                continue;
            }
        }
    }

    /** Reads the head of a request; empty if the connection ends before its end. */
    static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = input.read();
        while (next >= 0) {
            head.append((char) next);
            if (head.toString().endsWith("\r\n\r\n")) {
                return head.toString();
            }
            next = input.read();
        }
        return "";
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
