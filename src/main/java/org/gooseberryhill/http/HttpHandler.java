package org.gooseberryhill.http;

/** Handles the requests of a server; called by event loop threads. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles the head of a request and returns the receiver of its body. */
    RequestBodyHandler handle(HttpCall call);
}
