package org.gooseberryhill.steward;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.configuration.ModelSettings;
import org.gooseberryhill.decision.order.EndpointOrders;
import org.gooseberryhill.decision.order.ModelHolding;
import org.gooseberryhill.decision.order.OrderSettings;
import org.gooseberryhill.decision.order.OrderStep;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.process.LeaseManager;
import org.gooseberryhill.timeline.EventKind;

/** Orders the endpoints assigned to this host, under claims, to load their models. Confined to the control thread. */
final class OrderDriver {
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    private final HostProcess process;
    private final LeaseManager leaseManager;
    private final StewardSettings settings;
    private final BatchDriver batch;
    private final ModelLoadLimiter loadLimiter;
    private final Map<String, EndpointOrders> ordersByEndpoint = new HashMap<>();

    OrderDriver(HostProcess process, LeaseManager leaseManager, StewardSettings settings, BatchDriver batch) {
        this.process = process;
        this.leaseManager = leaseManager;
        this.settings = settings;
        this.batch = batch;
        this.loadLimiter = new ModelLoadLimiter(process, settings.maxLoads());
    }

    void start() {
        batch.addStatusListener(this::onStatusRead);
        leaseManager.addLossListener(() -> ordersByEndpoint.values().forEach(EndpointOrders::claimLost));
    }

    private void onStatusRead(EndpointSettings endpoint, EndpointStatus status) {
        Optional<ModelHolding> desired = desiredHolding(endpoint);
        if (desired.isEmpty()) {
            return;
        }
        EndpointOrders orders = ordersByEndpoint.computeIfAbsent(
                endpoint.name(),
                name -> new EndpointOrders(
                        new OrderSettings(process.settings().leaseMillis(), settings.maxOrderMillis()),
                        endpoint.checksFences()));
        boolean leaseUsable = leaseManager.usableLease().isPresent();
        OrderStep step = orders.next(
                Optional.of(status.held()),
                desired.get(),
                leaseUsable,
                process.loop().nowNanos());
        if (step instanceof OrderStep.Claim) {
            claim(endpoint, orders);
        } else if (step instanceof OrderStep.Send send) {
            loadLimiter.runWithSlot(leaseManager, () -> send(endpoint, orders, send), orders::orderEnded);
        }
    }

    private Optional<ModelHolding> desiredHolding(EndpointSettings endpoint) {
        Configuration configuration = process.configuration().current();
        return Optional.ofNullable(configuration.services().get(endpoint.service()))
                .flatMap(service -> service.model())
                .map(configuration.models()::get)
                .map(OrderDriver::toHolding);
    }

    private static ModelHolding toHolding(ModelSettings model) {
        return new ModelHolding(model.name(), model.version(), model.adapters());
    }

    private void claim(EndpointSettings endpoint, EndpointOrders orders) {
        Optional<Long> leaseId = leaseManager.usableLease();
        if (leaseId.isEmpty()) {
            orders.claimed(Optional.empty(), process.loop().nowNanos());
            return;
        }
        String key = Keys.endpointClaim(endpoint.name());
        Transaction write = Transaction.builder()
                .ifAbsent(key)
                .putUnderLease(key, process.claimValue(), leaseId.get())
                .build();
        process.keyValue()
                .write(write)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    if (failure == null && result.succeeded()) {
                        orders.claimed(
                                Optional.of(result.revision()), process.loop().nowNanos());
                    } else {
                        findOwnClaim(key, orders);
                    }
                }));
    }

    /**
     * Checks whether this host holds the claim, from this try or an earlier one, although its creation was not
     * confirmed.
     */
    private void findOwnClaim(String key, EndpointOrders orders) {
        process.keyValue()
                .read(key)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    Optional<Long> fence = failure != null
                            ? Optional.empty()
                            : result.first()
                                    .filter(entry -> Arrays.equals(process.claimValue(), entry.value()))
                                    .map(KeyValueStore.Entry::createRevision);
                    orders.claimed(fence, process.loop().nowNanos());
                }));
    }

    private void send(EndpointSettings endpoint, EndpointOrders orders, OrderStep.Send order) {
        if (leaseManager.usableLease().isEmpty()) {
            orders.orderEnded();
            loadLimiter.release();
            return;
        }
        process.timeline()
                .event(EventKind.ORDER_SENT)
                .endpoint(endpoint.name())
                .with("fence", order.fence())
                .write();
        byte[] body = Json.bytes(Json.object()
                .put("fence", order.fence())
                .set("holding", Json.mapper().valueToTree(order.holding())));
        ExchangeRequest request = new ExchangeRequest(
                endpoint.address(),
                "POST",
                "/orders",
                Map.of("content-type", "application/json"),
                body,
                (int) settings.maxOrderMillis(),
                true);
        process.http()
                .call(request, MAX_ANSWER_BYTES)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    String end = failure == null ? "status " + result.status() : "no answer";
                    process.timeline()
                            .event(EventKind.ORDER_ENDED)
                            .endpoint(endpoint.name())
                            .with("end", end)
                            .write();
                    orders.orderEnded();
                    loadLimiter.release();
                }));
    }
}
