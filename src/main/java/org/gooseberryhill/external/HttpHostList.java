package org.gooseberryhill.external;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;

/** Reads the host list over HTTP: {@code GET /hosts} returns a JSON object. Thread-safe. */
public final class HttpHostList implements HostList {
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private final HttpClient client;
    private final Address address;
    private final int timeoutMillis;

    /**
     * Creates a client of the list at an address; a read that gets no response fails after the timeout in
     * milliseconds.
     */
    public HttpHostList(HttpClient client, Address address, int timeoutMillis) {
        this.client = client;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public CompletableFuture<Listing> read() {
        ExchangeRequest request =
                new ExchangeRequest(address, "GET", "/hosts", Map.of(), new byte[0], timeoutMillis, false);
        return client.call(request, MAX_RESPONSE_BYTES).handle((result, failure) -> {
            if (failure != null || !result.isSuccess()) {
                throw new ExternalServiceException("host list: " + (failure == null ? result.status() : failure));
            }
            return Json.read(result.body(), Listing.class)
                    .getOrElseThrow(cause -> new ExternalServiceException("host list: " + cause.getMessage()));
        });
    }
}
