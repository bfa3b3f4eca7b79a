package org.gooseberryhill.standin;

import java.util.Map;
import java.util.function.Consumer;
import org.gooseberryhill.http.BodyCollector;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Json;

/** HTTP helpers that all stand-ins share. Stateless. */
final class StandinHttp {
    static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private StandinHttp() {}

    static void replyJson(HttpCall call, int status, Object value) {
        call.reply(status, JSON_HEADERS, Json.bytes(value));
    }

    static RequestBodyHandler collectBody(HttpCall call, Consumer<byte[]> onComplete) {
        return new BodyCollector(MAX_BODY_BYTES, onComplete, () -> call.reply(413, JSON_HEADERS, new byte[0]));
    }
}
