package org.gooseberryhill.steward;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.decision.batch.RunningItem;
import org.gooseberryhill.decision.job.ItemEnd;
import org.gooseberryhill.decision.job.WorkItem;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.http.EventStreamReader;
import org.gooseberryhill.http.Exchange;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;

/**
 * One run of one item at one endpoint. Methods are confined to the control thread; the answer is received on a
 * traffic thread.
 *
 * <p>Invariant: a run reports its end to the item's owner once, unless it is discarded. If the report is lost, the
 * owner reclaims the item.
 */
final class ItemRun {
    private static final int MAX_REPORT_TRIES = 5;
    private static final long REPORT_RETRY_MILLIS = 300;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;

    private final HostProcess process;
    private final BatchDriver driver;
    private final Host owner;
    private final String service;
    private final WorkItem item;
    private final long number;
    private final StringBuffer generatedText;
    private volatile int generatedTokens;
    private EndpointSettings endpoint;
    private RunningItem running;
    private Exchange exchange;
    private boolean holdsPermit;
    private boolean ended;

    ItemRun(HostProcess process, BatchDriver driver, Host owner, String service, WorkItem item, long number) {
        this.process = process;
        this.driver = driver;
        this.owner = owner;
        this.service = service;
        this.item = item;
        this.number = number;
        this.generatedText = new StringBuffer(item.partial());
        this.generatedTokens = item.partialTokens();
    }

    WorkItem item() {
        return item;
    }

    long number() {
        return number;
    }

    EndpointSettings endpoint() {
        return endpoint;
    }

    /** Returns the item to its owner without running it, since no endpoint is available. */
    void refuse() {
        ended = true;
        report(ItemEnd.NOT_RUN, "", 0);
    }

    /** Requests an endpoint where the item may run isolated from other suspects. */
    void requestPermit(List<EndpointSettings> candidates) {
        Optional<Host> arbiter = Ownership.ownerOfSuspects(service, process.presentHosts(Role.STEWARD));
        if (arbiter.isEmpty()) {
            refuse();
            return;
        }
        List<String> names = candidates.stream().map(EndpointSettings::name).toList();
        PeerMessage request = new PeerMessage.SuspectPermitRequest(service, fingerprint(), names);
        process.ask(arbiter.get(), request)
                .whenComplete((reply, failure) -> process.loop().execute(() -> {
                    Optional<EndpointSettings> granted = reply instanceof PeerMessage.SuspectPermit permit
                            ? candidates.stream()
                                    .filter(candidate -> permit.endpoint().equals(Optional.of(candidate.name())))
                                    .findFirst()
                            : Optional.empty();
                    if (granted.isEmpty()) {
                        refuse();
                        return;
                    }
                    holdsPermit = true;
                    driver.startRun(this, granted.get());
                }));
    }

    /** Sends the item to an endpoint. */
    void start(EndpointSettings target, RunningItem runningItem, int silenceMillis) {
        endpoint = target;
        running = runningItem;
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "application/json");
        headers.put("x-request-id", item.job().replace('/', '.') + "." + item.index());
        if (generatedTokens > 0) {
            headers.put("x-resume-from", Integer.toString(generatedTokens));
        }
        ExchangeRequest request = new ExchangeRequest(
                target.address(), "POST", "/v1/completions", headers, streamingRequestBody(), silenceMillis, false);
        exchange = process.http().start(request, new AnswerListener());
    }

    /** Frees the slot for online requests and reports the partial result to the owner. */
    void yield() {
        if (endOnce(false)) {
            exchange.cancel();
            report(ItemEnd.YIELDED, generatedText.toString(), generatedTokens);
        }
    }

    /** Ends the run without a report, since the job is stopped. */
    void discard() {
        if (endOnce(false)) {
            exchange.cancel();
            driver.onRunSettled(this);
        }
    }

    private void finish(ItemEnd kind, String result, int resultTokens) {
        process.loop().execute(() -> {
            if (endOnce(kind == ItemEnd.CRASHED || kind == ItemEnd.NOT_RUN)) {
                report(kind, result, resultTokens);
            }
        });
    }

    /** Ends the run unless it has ended before; returns whether this call ended it. */
    private boolean endOnce(boolean unreachable) {
        if (ended) {
            return false;
        }
        ended = true;
        if (holdsPermit) {
            PeerMessage release = new PeerMessage.SuspectRelease(service, fingerprint(), false);
            Ownership.ownerOfSuspects(service, process.presentHosts(Role.STEWARD))
                    .ifPresent(arbiter -> process.send(arbiter, release));
        }
        driver.onRunEnded(this, unreachable);
        return true;
    }

    private void report(ItemEnd kind, String result, int resultTokens) {
        PeerMessage report = new PeerMessage.ItemReport(
                item.job(), item.index(), item.fence(), item.handout(), kind, result, resultTokens);
        sendReport(report, MAX_REPORT_TRIES);
    }

    private void sendReport(PeerMessage report, int triesLeft) {
        process.ask(owner, report)
                .whenComplete((reply, failure) -> process.loop().execute(() -> {
                    if (failure == null || triesLeft <= 1) {
                        driver.onRunSettled(this);
                    } else {
                        process.loop().after(REPORT_RETRY_MILLIS, () -> sendReport(report, triesLeft - 1));
                    }
                }));
    }

    private String fingerprint() {
        return Fingerprint.of(item.job() + "#" + item.index(), new byte[0]).value();
    }

    private byte[] streamingRequestBody() {
        return Json.tree(item.body().getBytes(StandardCharsets.UTF_8))
                .map(json -> Json.bytes(((ObjectNode) json).put("stream", true)))
                .getOrElse(new byte[0]);
    }

    /** Handles the answer of the endpoint. Used by one traffic thread. */
    private final class AnswerListener implements ExchangeListener {
        private final EventStreamReader events = new EventStreamReader();
        private int status;
        private boolean endMarkReceived;

        @Override
        public void onHead(int newStatus, HttpHeaders headers) {
            status = newStatus;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (status >= FIRST_CLIENT_ERROR) {
                return;
            }
            events.read(bytes, (event, token, isEndMark) -> {
                endMarkReceived |= isEndMark;
                if (!token.isEmpty()) {
                    generatedText.append(token);
                    generatedTokens++;
                    running.setTokens(generatedTokens);
                }
            });
        }

        @Override
        public void onEnd() {
            if (endMarkReceived) {
                finish(ItemEnd.COMPLETED, generatedText.toString(), generatedTokens);
            } else if (status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR && status != TOO_MANY_REQUESTS) {
                finish(ItemEnd.REJECTED, "the endpoint answered with status " + status, 0);
            } else {
                finish(ItemEnd.FAILED, "the endpoint answered with status " + status, 0);
            }
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            boolean connectionCut =
                    failure.kind() == ExchangeFailure.Kind.CONNECTION_LOST && failure.outcome() == Outcome.MAY_HAVE_RUN;
            if (connectionCut) {
                finish(ItemEnd.CRASHED, failure.detail(), 0);
            } else if (failure.outcome() == Outcome.NOT_RUN) {
                finish(ItemEnd.NOT_RUN, failure.detail(), 0);
            } else {
                finish(ItemEnd.FAILED, failure.detail(), 0);
            }
        }
    }
}
