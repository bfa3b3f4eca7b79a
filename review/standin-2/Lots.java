package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.gooseberryhill.link.Json;

/** Batch jobs and the calls that concern them. Stateless. */
final class Lots {
    private Lots() {}

    /** A batch job: its id and the ids and bodies of its items. */
    record Lot(String id, Map<String, byte[]> items, byte[] submission) {}

    static Lot create(Random random, int itemCount, int bodyBytes, int promptTokens, int outputTokens) {
        String id = hex(random);
        ObjectNode json = Json.object();
        ArrayNode items = json.putArray("items");
        Map<String, byte[]> bodies = new LinkedHashMap<>();
        for (int i = 0; i < itemCount; i++) {
            String item = hex(random);
            byte[] body = new byte[bodyBytes];
            random.nextBytes(body);
            bodies.put(item, body);
            ObjectNode entry = items.addObject();
            entry.put("id", item).put("path", Deployment.BATCH_PREFIX + "3/" + item.substring(0, 4));
            entry.putObject("headers")
                    .put("X-Model", "m")
                    .put("X-Token-Usage", promptTokens + "," + outputTokens)
                    .put("X-Prompt-Prefix", "9c2e41:100," + item.substring(0, 8) + ":" + (promptTokens - 100));
            entry.put("body", Base64.getEncoder().encodeToString(body)).put("tokens", promptTokens + outputTokens);
        }
        return new Lot(id, bodies, Json.bytes(json));
    }

    static String hex(Random random) {
        return String.format("%016x", random.nextLong());
    }

    static Answer submit(Endpoint to, Lot lot, int timeoutMillis) {
        return Client.call(
                to,
                "POST",
                Deployment.BATCH_PREFIX + lot.id().substring(0, 6),
                Map.of("Host", Deployment.HOST, "X-Request-Id", lot.id(), "Content-Type", "application/json"),
                lot.submission(),
                timeoutMillis);
    }

    static Answer read(Endpoint to, String lot, int after, int waitMillis, int timeoutMillis) {
        return Client.call(
                to,
                "GET",
                "/gooseberryhill/lots/" + lot + "?after=" + after,
                Map.of("Host", Deployment.HOST, "X-Wait-Ms", Integer.toString(waitMillis)),
                new byte[0],
                timeoutMillis);
    }

    /** One result as a page lists it. */
    record Result(String id, String state, String text) {}

    /** A page of results. */
    record Page(int total, int next, List<Result> results) {}

    static Page page(Answer answer) {
        JsonNode json = Json.tree(answer.body()).get();
        List<Result> results = new ArrayList<>();
        json.path("results")
                .forEach(result -> results.add(new Result(
                        result.path("id").asText(),
                        result.path("state").asText(),
                        result.path("text").asText())));
        return new Page(json.path("total").asInt(), json.path("next").asInt(), results);
    }
}
