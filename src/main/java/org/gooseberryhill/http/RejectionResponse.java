package org.gooseberryhill.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The response to a request that was not read completely, after which its connection closes. Immutable.
 *
 * @param status the status
 * @param message what is wrong with the request
 */
record RejectionResponse(HttpResponseStatus status, String message) {
    /** Returns the response to bytes that are no HTTP request. */
    static RejectionResponse malformed(Throwable cause) {
        String detail = cause == null ? "malformed" : String.valueOf(cause.getMessage());
        return new RejectionResponse(
                HttpResponseStatus.BAD_REQUEST, "malformed HTTP: " + detail.replaceAll("[^ -~]|[\"\\\\]", "?"));
    }

    /** Returns the response to a request that did not arrive within the time limit. */
    static RejectionResponse timedOut() {
        return new RejectionResponse(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not arrive in time");
    }

    /** Returns the whole response, for a connection without a call. */
    FullHttpResponse toHttp() {
        byte[] body = body();
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        headers().forEach(response.headers()::set);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    /** Sends the response as the reply to a call. */
    void sendTo(HttpCall call) {
        call.reply(status.code(), headers(), body());
    }

    private static Map<String, String> headers() {
        return Map.of(
                HttpHeaderNames.CONTENT_TYPE.toString(),
                "application/json",
                HttpHeaderNames.CONNECTION.toString(),
                HttpHeaderValues.CLOSE.toString());
    }

    private byte[] body() {
        return ("{\"error\":{\"code\":\"invalid-request\",\"outcome\":\"not-run\",\"message\":\"" + message + "\"}}")
                .getBytes(StandardCharsets.UTF_8);
    }
}
