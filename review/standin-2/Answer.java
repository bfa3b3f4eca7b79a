package review2;

import java.util.Map;

/**
 * An answer as a client saw it; status -1 if the call got no complete answer. Immutable.
 *
 * @param status the status, or -1
 * @param headers the headers with names in lower case
 * @param body the body
 * @param detail why there is no answer
 */
record Answer(int status, Map<String, String> headers, byte[] body, String detail) {
    static Answer none(String detail) {
        return new Answer(-1, Map.of(), new byte[0], detail);
    }

    String text() {
        return new String(body, java.nio.charset.StandardCharsets.UTF_8);
    }
}
