package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Decides whether a decoded response head can be the head of one response. Stateless.
 *
 * <p>Guards against a server that stops inside a head and sends another response on the same connection. Both decode as one
 * head, with the status of the first response and the body of the second; the status line of the second continues the reason
 * phrase or the field at which the first one stops. The codec refuses a field name that contains a status line.
 */
final class AnswerHeadCheck {
    /** A whole status line: values that only name a version or a product, such as those of {@code Via}, are not matched. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [1-9][0-9]{2}( |$)");

    /** The codec refuses fields that state the length of the body if they occur twice. */
    private static final List<CharSequence> SINGLE_FIELDS = List.of(HttpHeaderNames.CONTENT_TYPE);

    private AnswerHeadCheck() {}

    /**
     * Returns why a head can't be the head of one response, if it can't.
     *
     * @param singleFields names of fields that a response bears at most once, in addition to those of HTTP
     */
    static Optional<String> fault(HttpResponse response, List<String> singleFields) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return Optional.of("the reason phrase contains the status line of another answer");
        }
        for (Map.Entry<String, String> field : response.headers()) {
            if (containsStatusLine(field.getValue())) {
                return Optional.of("the field " + field.getKey() + " contains the status line of another answer");
            }
        }
        return repeated(response.headers(), SINGLE_FIELDS)
                .or(() -> repeated(response.headers(), singleFields))
                .map(name -> "the answer bears more than one " + name);
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }

    private static Optional<CharSequence> repeated(HttpHeaders headers, List<? extends CharSequence> names) {
        for (CharSequence name : names) {
            if (headers.getAll(name).size() > 1) {
                return Optional.of(name);
            }
        }
        return Optional.empty();
    }
}
