package org.jujubefork.client.api;

import java.nio.charset.StandardCharsets;
import org.jujubefork.core.model.Outcome;

/** The complete answer to a request on a queue. */
public final class RequestResult {
    private final Outcome outcome;
    private final byte[] body;

    private RequestResult(Outcome outcome, byte[] body) {
        this.outcome = outcome;
        this.body = body;
    }

    /** Returns an answer; {@code body} is copied. */
    public static RequestResult of(Outcome outcome, byte[] body) {
        return new RequestResult(outcome, body.clone());
    }

    /** Returns what is known about the request. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns a copy of the body. */
    public byte[] body() {
        return body.clone();
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
