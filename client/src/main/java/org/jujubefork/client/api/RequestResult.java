package org.jujubefork.client.api;

import java.nio.charset.StandardCharsets;
import org.jujubefork.core.model.Outcome;

/** Outcome of a request to a queue and the complete response body. */
public final class RequestResult {
    private final Outcome outcome;
    private final byte[] body;

    private RequestResult(Outcome outcome, byte[] body) {
        this.outcome = outcome;
        this.body = body;
    }

    /** Returns a result; {@code body} is copied. */
    public static RequestResult of(Outcome outcome, byte[] body) {
        return new RequestResult(outcome, body.clone());
    }

    /** Returns the outcome that the response header states, {@link Outcome#DONE} if it has none. */
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
