package org.gooseberryhill.load;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.program.EntryClient;
import org.gooseberryhill.program.SampleSystem;
import org.gooseberryhill.program.StreamedAnswerChecker;
import org.gooseberryhill.standin.PlainServiceStandin;
import org.gooseberryhill.standin.SampleAnswers;
import org.gooseberryhill.standin.SampleFleet;

/**
 * Sends online requests at their intended times without waiting for earlier answers (open loop), and checks the
 * complete answers. Confined to one thread.
 */
public final class OnlineSender implements Closeable {
    private final List<EntryClient> modelClients = new ArrayList<>();
    private final List<EntryClient> plainClients = new ArrayList<>();
    private final Measurement measurement;
    private final List<CompletableFuture<?>> pendingAnswers = new ArrayList<>();

    /** Creates a sender that distributes the requests over all entry hosts of a system. */
    public OnlineSender(SampleSystem system, Measurement measurement) {
        this.measurement = measurement;
        for (int i = 0; i < SampleSystem.HOSTS_PER_ROLE; i++) {
            modelClients.add(system.client(i, SampleFleet.TUTORS_KEY));
            plainClients.add(system.client(i, SampleFleet.STUDENTS_KEY));
        }
    }

    /**
     * Sends all arrivals. Before each one, the action is called with its intended time of sending, in nanoseconds since
     * the beginning.
     */
    public void send(List<Arrivals.Arrival> arrivals, long beginNanos, LongConsumer beforeEach) {
        for (Arrivals.Arrival arrival : arrivals) {
            long intendedNanos = beginNanos + arrival.offsetNanos();
            while (System.nanoTime() < intendedNanos) {
                LockSupport.parkNanos(intendedNanos - System.nanoTime());
            }
            beforeEach.accept(arrival.offsetNanos());
            send(arrival, intendedNanos);
        }
    }

    /** Waits until all requests have been answered or have failed. */
    public void awaitAnswers() {
        CompletableFuture.allOf(pendingAnswers.toArray(CompletableFuture[]::new))
                .join();
    }

    @Override
    public void close() {
        modelClients.forEach(EntryClient::close);
        plainClients.forEach(EntryClient::close);
    }

    private void send(Arrivals.Arrival arrival, long intendedNanos) {
        RequestKind kind = arrival.kind();
        if (kind.plain()) {
            sendPlain(arrival, intendedNanos);
            return;
        }
        String prompt = promptText(kind.name() + " " + arrival.number(), kind.promptCharacters());
        StreamedAnswerChecker checker =
                new StreamedAnswerChecker(SampleAnswers.chatAnswer(prompt, kind.tokens()), intendedNanos);
        byte[] body = SampleAnswers.chatBody(prompt, kind.tokens());
        pendingAnswers.add(checker.result().thenAccept(measurement::recordModelAnswer));
        modelClients.get(arrival.number() % modelClients.size()).start("POST", "/v1/chat/completions", body, checker);
    }

    private void sendPlain(Arrivals.Arrival arrival, long intendedNanos) {
        EntryClient client = plainClients.get(arrival.number() % plainClients.size());
        boolean booking = arrival.kind().name().equals("bookings");
        String name = "r" + arrival.number();
        byte[] body = booking ? Json.bytes(Map.of("seat", name)) : new byte[0];
        CompletableFuture<Void> end = CompletableFuture.supplyAsync(() -> booking
                        ? client.call("POST", "/services/bookings/bookings", body, Map.of("idempotency-key", name))
                        : client.call("GET", "/services/bookings/records/" + name, body))
                .handle((result, failure) -> {
                    boolean correct = failure == null
                            && result.isSuccess()
                            && (booking || Arrays.equals(result.body(), PlainServiceStandin.record(name)));
                    measurement.recordPlainAnswer(correct, System.nanoTime() - intendedNanos);
                    return null;
                });
        pendingAnswers.add(end);
    }

    /** Returns a text of a given length that begins with a name, so that few prompts share a cached prefix. */
    static String promptText(String name, int characters) {
        StringBuilder text = new StringBuilder(name);
        while (text.length() < characters) {
            text.append(" lorem ipsum");
        }
        text.setLength(Math.max(name.length(), characters));
        return text.toString();
    }
}
