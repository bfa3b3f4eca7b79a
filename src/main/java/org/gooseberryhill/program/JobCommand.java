package org.gooseberryhill.program;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Submits, follows and cancels jobs through an entry host, with a caller's key. */
@Command(name = "job", mixinStandardHelpOptions = true, description = "Submits, follows and cancels jobs")
final class JobCommand {
    private static final String PATH = "/v1/jobs/";
    private static final long POLL_MILLIS = 500;
    private static final int BAR_WIDTH = 40;

    @Spec
    private CommandSpec spec;

    @Command(
            mixinStandardHelpOptions = true,
            description = "Submits a job; submitting the same job again creates no other job")
    int submit(
            @Mixin EntryOptions entry,
            @Parameters(paramLabel = "ID", description = "The job's id") String id,
            @Parameters(paramLabel = "FILE", description = "One JSON item a line") Path file,
            @Option(names = "--model", required = true, description = "The model") String model,
            @Option(names = "--due", description = "Such as 2026-12-04T08:00:00Z; a day from now if not given")
                    String due,
            @Option(names = "--json", description = "The answer as JSON") boolean json)
            throws IOException {
        String target = PATH + id + "?model=" + encode(model) + (due == null ? "" : "&due=" + encode(due));
        byte[] body = Files.readAllBytes(file);
        try (EntryClient client = entry.connect()) {
            return print(client.call("PUT", target, body), json);
        }
    }

    @Command(mixinStandardHelpOptions = true, description = "Shows a job's state")
    int status(
            @Mixin EntryOptions entry,
            @Parameters(paramLabel = "ID", description = "The job's id") String id,
            @Option(names = "--wait", description = "Follow the job to its end") boolean wait,
            @Option(names = "--json", description = "The answer as JSON") boolean json)
            throws InterruptedException {
        try (EntryClient client = entry.connect()) {
            HttpResult result = client.call("GET", PATH + id, new byte[0]);
            while (wait && isRunning(result)) {
                showProgress(result, json);
                Thread.sleep(POLL_MILLIS);
                result = client.call("GET", PATH + id, new byte[0]);
            }
            if (wait && !json && System.console() != null) {
                out().println();
            }
            return print(result, json);
        }
    }

    @Command(mixinStandardHelpOptions = true, description = "Prints results, one JSON object a line")
    int results(
            @Mixin EntryOptions entry,
            @Parameters(paramLabel = "ID", description = "The job's id") String id,
            @Option(names = "--offset", defaultValue = "0", description = "First item to print") int offset) {
        try (EntryClient client = entry.connect()) {
            HttpResult result = client.call("GET", PATH + id + "/results?offset=" + offset, new byte[0]);
            out().print(new String(result.body(), StandardCharsets.UTF_8));
            out().flush();
            return result.isSuccess() ? Commands.OK : Commands.FAILED;
        }
    }

    @Command(mixinStandardHelpOptions = true, description = "Cancels a job; no later result appears")
    int cancel(
            @Mixin EntryOptions entry,
            @Parameters(paramLabel = "ID", description = "The job's id") String id,
            @Option(names = "--json", description = "The answer as JSON") boolean json) {
        try (EntryClient client = entry.connect()) {
            return print(client.call("DELETE", PATH + id, new byte[0]), json);
        }
    }

    @Command(mixinStandardHelpOptions = true, description = "Lists the caller's open jobs")
    int list(@Mixin EntryOptions entry, @Option(names = "--json", description = "As JSON") boolean json) {
        try (EntryClient client = entry.connect()) {
            return print(client.call("GET", "/v1/jobs", new byte[0]), json);
        }
    }

    private int print(HttpResult result, boolean json) {
        JsonNode answer = Json.tree(result.body()).getOrElse(Json.object());
        if (json) {
            out().println(Json.text(answer));
        } else if (answer.has("error")) {
            JsonNode error = answer.path("error");
            err().printf(
                            "%s (%s): %s%n",
                            error.path("code").asText(),
                            error.path("outcome").asText(),
                            error.path("message").asText());
        } else {
            answer.properties().forEach(field -> out().println(field.getKey() + ": " + text(field.getValue())));
        }
        return result.isSuccess() ? Commands.OK : Commands.FAILED;
    }

    private static String text(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.toString();
    }

    private static boolean isRunning(HttpResult result) {
        return result.isSuccess()
                && Json.tree(result.body())
                        .map(json -> json.path("state").asText().equals("running"))
                        .getOrElse(false);
    }

    private void showProgress(HttpResult result, boolean json) {
        if (json || System.console() == null) {
            return;
        }
        JsonNode status = Json.tree(result.body()).getOrElse(Json.object());
        int items = Math.max(1, status.path("items").asInt());
        int done = status.path("completed").asInt();
        int filled = BAR_WIDTH * done / items;
        out().printf("\r[%s%s] %d of %d", "#".repeat(filled), " ".repeat(BAR_WIDTH - filled), done, items);
        out().flush();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    /** The options for the address of an entry host and the caller's key. */
    static final class EntryOptions {
        @Option(
                names = "--entry",
                defaultValue = "${env:GOOSEBERRY_ENTRY:-}",
                description = "ip:port of an entry host or the load balancer")
        private String entry;

        @Option(
                names = "--key",
                defaultValue = "${env:GOOSEBERRY_KEY:-}",
                description = "The caller's bearer key; preferably set GOOSEBERRY_KEY instead")
        private String key;

        EntryClient connect() {
            SettingsReader reader = new SettingsReader();
            Address address = reader.address("--entry", entry);
            String bearerKey = reader.requiredText("--key", key);
            reader.requireNoFindings();
            return new EntryClient(address, bearerKey);
        }
    }
}
