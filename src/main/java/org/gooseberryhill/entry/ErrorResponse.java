package org.gooseberryhill.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.link.Json;

/** Formats all error responses to callers as JSON. Stateless. */
final class ErrorResponse {
    private ErrorResponse() {}

    /** Replies to a call with a refusal: code, outcome, message, and Retry-After if the refusal has a retry time. */
    static void reply(HttpCall call, String requestId, Refusal refusal) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "application/json");
        headers.put("x-request-id", requestId);
        headers.put("x-outcome", refusal.outcome().wireName());
        refusal.retryAfterSeconds().ifPresent(seconds -> headers.put("retry-after", Long.toString(seconds)));
        call.reply(refusal.code().httpStatus(), headers, Json.bytes(body(requestId, refusal)));
    }

    /** Returns the JSON body of the response. */
    static ObjectNode body(String requestId, Refusal refusal) {
        ObjectNode response = Json.object();
        ObjectNode error = response.putObject("error");
        error.put("code", refusal.code().wireName())
                .put("outcome", refusal.outcome().wireName())
                .put("message", refusal.message())
                .put("request_id", requestId);
        refusal.retryAfterMillis().ifPresent(millis -> error.put("retry_after_millis", millis));
        return response;
    }
}
