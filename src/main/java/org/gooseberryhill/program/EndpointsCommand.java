package org.gooseberryhill.program;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.ConfigurationReader;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.link.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows each endpoint of the configuration in force and the status that it reports. */
@Command(
        name = "endpoints",
        mixinStandardHelpOptions = true,
        description = "Shows the endpoints and the status that they report")
final class EndpointsCommand implements Callable<Integer> {
    private static final int TIMEOUT_MILLIS = 1000;
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    @Spec
    private CommandSpec spec;

    @Mixin
    private PlatformOptions platform = new PlatformOptions();

    @Option(names = "--json", description = "As JSON")
    private boolean json;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        List<EndpointView> views = new ArrayList<>();
        try (PlatformOptions.Connection connection = platform.connect()) {
            String text = new ConfigurationEditor(connection.keyValue())
                    .read()
                    .map(stored -> stored.record().text())
                    .orElse("");
            Configuration configuration =
                    ConfigurationReader.read("in force", text).getOrElse(Configuration.EMPTY);
            for (EndpointSettings endpoint : configuration.endpoints().values()) {
                boolean servesModel =
                        configuration.services().get(endpoint.service()).model().isPresent();
                views.add(view(endpoint, servesModel ? readStatus(connection.http(), endpoint) : "plain service"));
            }
        }
        if (json) {
            out.println(Json.text(views));
        } else {
            views.forEach(view -> out.printf(
                    "%-16s %-12s %-8s %-22s %s%n", view.name, view.service, view.zone, view.address, view.status));
        }
        out.flush();
        return Commands.OK;
    }

    private static EndpointView view(EndpointSettings endpoint, String status) {
        return new EndpointView(
                endpoint.name(),
                endpoint.service(),
                endpoint.zone().name(),
                endpoint.address().toString(),
                status);
    }

    private static String readStatus(HttpClient http, EndpointSettings endpoint) {
        ExchangeRequest request =
                new ExchangeRequest(endpoint.address(), "GET", "/status", Map.of(), new byte[0], TIMEOUT_MILLIS, false);
        return http.call(request, MAX_ANSWER_BYTES)
                .handle((result, failure) -> failure != null
                        ? "does not answer"
                        : describe(Json.tree(result.body()).getOrElse(Json.object())))
                .join();
    }

    private static String describe(JsonNode status) {
        JsonNode held = status.path("held");
        return "%d active, %d queued, holds %s version %s%s"
                .formatted(
                        status.path("active").asInt(),
                        status.path("queued").asInt(),
                        held.path("model").asText(),
                        held.path("version").asText(),
                        status.path("draining").asBoolean() ? ", leaving" : "");
    }

    /** One line of the output. */
    private record EndpointView(String name, String service, String zone, String address, String status) {}
}
