package org.gooseberryhill.http;

/** Answers the requests of a server; called by traffic threads. */
@FunctionalInterface
public interface HttpHandler {
    /** Looks at a request's head and returns what takes in its body. */
    HttpBody handle(HttpCall call);
}
