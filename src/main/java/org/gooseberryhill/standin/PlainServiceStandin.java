package org.gooseberryhill.standin;

import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;

/**
 * Simulates a plain service: {@code POST /bookings} is not idempotent; {@code GET /bookings} and
 * {@code GET /records/{name}} are read-only. Thread-safe.
 */
public final class PlainServiceStandin implements Closeable {
    private static final int RECORD_BYTES = 4096;

    private final HttpServer server;
    private final List<String> bookings = new CopyOnWriteArrayList<>();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final AtomicInteger answersToWithhold = new AtomicInteger();
    private final List<HttpCall> withheldCalls = new CopyOnWriteArrayList<>();

    /** Starts listening. */
    public PlainServiceStandin(EventLoopGroup group, Address address) {
        server = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);
    }

    /** Makes the given number of upcoming bookings take effect without an answer. */
    public void loseNextAnswers(int number) {
        answersToLose.set(number);
    }

    /**
     * Makes the given number of upcoming bookings take effect but withholds their answers until
     * {@link #answerWithheldBookings} is called.
     */
    public void withholdNextAnswers(int number) {
        answersToWithhold.set(number);
    }

    /** Answers the bookings whose answers are withheld. */
    public void answerWithheldBookings() {
        withheldCalls.forEach(this::answerBooking);
        withheldCalls.clear();
    }

    /** Returns the bodies of all bookings that took effect. */
    public List<String> bookings() {
        return List.copyOf(bookings);
    }

    /** Returns the content of a record. */
    public static byte[] record(String name) {
        return (name + " ").repeat(RECORD_BYTES / (name.length() + 1)).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        server.close();
    }

    private RequestBodyHandler handle(HttpCall call) {
        return StandinHttp.collectBody(call, body -> {
            String path = call.path();
            if (call.method().equals("POST") && path.equals("/bookings")) {
                book(call, body);
            } else if (path.startsWith("/records/")) {
                byte[] record = record(path.substring("/records/".length()));
                call.reply(200, Map.of("content-type", "text/plain", "x-record", "yes"), record);
            } else if (path.equals("/bookings")) {
                StandinHttp.replyJson(call, 200, bookings);
            } else {
                StandinHttp.replyJson(call, 404, Map.of("error", "no such call"));
            }
        });
    }

    private void book(HttpCall call, byte[] body) {
        bookings.add(new String(body, StandardCharsets.UTF_8));
        if (answersToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
            call.abortStream();
        } else if (answersToWithhold.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
            withheldCalls.add(call);
        } else {
            answerBooking(call);
        }
    }

    private void answerBooking(HttpCall call) {
        call.reply(201, StandinHttp.JSON_HEADERS, Json.bytes(Map.of("booking", bookings.size())));
    }
}
