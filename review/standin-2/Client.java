package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Sends HTTP/1.1 calls, each on a connection of its own. Stateless. */
final class Client {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private Client() {}

    static Answer call(
            Endpoint to, String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
            socket.connect(new InetSocketAddress(to.ip(), to.port()), CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return read(socket.getInputStream());
        } catch (IOException e) {
            return Answer.none(e.toString());
        }
    }

    static Answer read(InputStream in) throws IOException {
        String status = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        byte[] body;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            body = chunks(in);
        } else {
            body = exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        return new Answer(Integer.parseInt(status.split(" ")[1]), headers, body, "");
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
        while (size > 0) {
            body.writeBytes(exactly(in, size));
            line(in);
            size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
        }
        line(in);
        return body.toByteArray();
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended inside the body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended inside the head");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
