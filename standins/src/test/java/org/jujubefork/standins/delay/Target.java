package org.jujubefork.standins.delay;

import java.net.http.HttpRequest;
import java.util.concurrent.Semaphore;

/**
 * One way to have a request served.
 *
 * @param name its name in the report
 * @param requests makes the request with an identifier
 * @param connections permits for calls at the same time; a call waits for one
 */
record Target(String name, Requests requests, Semaphore connections) {
    /** Above what any step of the report has open at once. */
    private static final int UNBOUNDED = 100_000;

    /** Makes requests. */
    @FunctionalInterface
    interface Requests {
        HttpRequest request(String id);
    }

    /** Returns a target without a bound on calls at the same time. */
    static Target of(String name, Requests requests) {
        return new Target(name, requests, new Semaphore(UNBOUNDED));
    }

    /** Returns a target with a bound on calls at the same time. */
    static Target bounded(String name, Requests requests, int atOnce) {
        return new Target(name, requests, new Semaphore(atOnce));
    }
}
