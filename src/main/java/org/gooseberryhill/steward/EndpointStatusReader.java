package org.gooseberryhill.steward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.process.HostProcess;

/** Reads the statuses of endpoints, with at most one read per endpoint at a time. Confined to the control thread. */
final class EndpointStatusReader {
    private static final int TIMEOUT_MILLIS = 1000;
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    private final HostProcess process;
    private final List<BiConsumer<EndpointSettings, EndpointStatus>> listeners = new ArrayList<>();
    private final Set<String> endpointsBeingRead = new HashSet<>();

    EndpointStatusReader(HostProcess process, BiConsumer<EndpointSettings, EndpointStatus> listener) {
        this.process = process;
        listeners.add(listener);
    }

    void addListener(BiConsumer<EndpointSettings, EndpointStatus> listener) {
        listeners.add(listener);
    }

    void read(List<EndpointSettings> endpoints) {
        endpoints.forEach(this::read);
    }

    private void read(EndpointSettings endpoint) {
        if (!endpointsBeingRead.add(endpoint.name())) {
            return;
        }
        ExchangeRequest request =
                new ExchangeRequest(endpoint.address(), "GET", "/status", Map.of(), new byte[0], TIMEOUT_MILLIS, false);
        process.http()
                .call(request, MAX_ANSWER_BYTES)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    endpointsBeingRead.remove(endpoint.name());
                    if (failure == null && result.isSuccess()) {
                        Json.read(result.body(), EndpointStatus.class)
                                .forEach(status -> listeners.forEach(listener -> listener.accept(endpoint, status)));
                    }
                }));
    }
}
