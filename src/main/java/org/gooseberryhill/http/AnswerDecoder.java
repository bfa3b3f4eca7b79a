package org.gooseberryhill.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes the responses of a client connection and notes what follows them. Runs only on the connection's event loop.
 *
 * <p>Invariant: what follows a response is noted before the response is reported as read completely.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final byte[] BEGINNING = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private boolean answersHeadRequest;
    private boolean betweenResponses = true;
    private int followingBytes;
    private boolean followedByResponse = true;

    AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Begins another exchange, whose request has the given method. */
    void beginExchange(String method) {
        answersHeadRequest = HttpMethod.HEAD.name().equals(method);
    }

    /** Returns what has arrived behind the last complete response. */
    Following following() {
        if (followingBytes == 0) {
            return Following.NOTHING;
        }
        if (!followedByResponse) {
            return Following.NO_RESPONSE;
        }
        return followingBytes < BEGINNING.length ? Following.UNKNOWN : Following.RESPONSE;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (betweenResponses) {
            noteFollowing(in);
        }
        int before = out.size();
        super.decode(context, in, out);
        for (int i = before; i < out.size(); i++) {
            noteMessage(out.get(i));
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("not a status code: " + initialLine[1]);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean interim = ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return answersHeadRequest && !interim || super.isContentAlwaysEmpty(message);
    }

    private void noteFollowing(ByteBuf in) {
        int length = Math.min(in.readableBytes(), BEGINNING.length);
        followingBytes = Math.max(followingBytes, length);
        for (int i = 0; i < length; i++) {
            followedByResponse &= in.getByte(in.readerIndex() + i) == BEGINNING[i];
        }
    }

    private void noteMessage(Object message) {
        if (message instanceof LastHttpContent) {
            resetFollowing();
            betweenResponses = true;
        } else if (message instanceof HttpResponse) {
            betweenResponses = false;
        }
    }

    private void resetFollowing() {
        followingBytes = 0;
        followedByResponse = true;
    }

    /** What has arrived behind a complete response. */
    enum Following {
        NOTHING,
        /** Too few bytes to tell whether they begin a response. */
        UNKNOWN,
        RESPONSE,
        NO_RESPONSE
    }
}
