package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.gooseberryhill.link.Json;

/** The configuration and the requests of the cases, in the form of the users' pages. Stateless. */
final class Sample {
    static final String MODEL = "model";
    static final String PLAIN = "plain";

    private Sample() {}

    /** Returns a configuration with a batch route, a resumable stream, a safe and an unsafe route. */
    static ObjectNode configuration(long version) {
        ObjectNode json = Json.object().put("version", version);
        ArrayNode routes = json.putArray("routes");
        route(routes, "stream", "/stream/", "stream", MODEL, 5000, 300, 0).put("allow_resume", true);
        route(routes, "batch", "/batch/", "batch", MODEL, 15_000, 500, 2)
                .put("allow_resume", true)
                .put("completion_target_ms", 18_000)
                .put("retention_s", 60)
                .put("max_attempts", 3);
        route(routes, "safe", "/safe/", "safe", PLAIN, 1500, 121, 1);
        route(routes, "unsafe", "/unsafe/", "unsafe", PLAIN, 1500, 121, 1);
        ArrayNode services = json.putArray("services");
        services.addObject()
                .put("name", MODEL)
                .put("health_path", "/healthz")
                .put("max_conns", 210)
                .putObject("engine")
                .put("slots", 8)
                .put("kv_capacity_tokens", 134_354);
        services.addObject().put("name", PLAIN).put("health_path", "/healthz").put("max_conns", 110);
        json.putObject("limits")
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", 4_194_304)
                .put("header_timeout_ms", 3000)
                .put("idle_timeout_ms", 15_000);
        return json;
    }

    private static ObjectNode route(
            ArrayNode routes,
            String name,
            String prefix,
            String kind,
            String service,
            int timeoutMillis,
            int targetMillis,
            int priority) {
        return routes.addObject()
                .put("name", name)
                .put("host", Deployment.HOST)
                .put("prefix", prefix)
                .put("kind", kind)
                .put("timeout_ms", timeoutMillis)
                .put("target_latency_ms", targetMillis)
                .put("priority", priority)
                .put("service", service)
                .put("max_attempts", 2)
                .put("sticky", service.equals(MODEL))
                .put("gap_aim_ms", 200);
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Returns a batch job with a number of items, each of which has an output of some tokens. */
    static ObjectNode batch(int items, int tokens) {
        ObjectNode json = Json.object();
        ArrayNode list = json.putArray("items");
        for (int i = 0; i < items; i++) {
            ObjectNode item = list.addObject().put("id", newId()).put("path", "/batch/" + i + "/91c4");
            item.putObject("headers")
                    .put("X-Model", "m")
                    .put("X-Token-Usage", "350," + tokens)
                    .put("X-Prompt-Prefix", "9c2e41:100," + newId().substring(0, 6) + ":250");
            item.put("body", Base64.getEncoder().encodeToString(("item " + i).getBytes()));
            item.put("tokens", 350 + tokens);
        }
        return json;
    }

    static Map<String, String> streamHeaders(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", id);
        headers.put("X-Model", "m");
        headers.put("X-Token-Usage", "450,25");
        headers.put("X-Prompt-Prefix", "5c1e07a2:200," + newId().substring(0, 8) + ":250");
        headers.put("X-Deadline-Ms", "5000");
        return headers;
    }

    static Map<String, String> plainHeaders(String id, int deadlineMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", Integer.toString(deadlineMillis));
        return headers;
    }
}
