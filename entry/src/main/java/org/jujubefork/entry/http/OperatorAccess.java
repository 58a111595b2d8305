package org.jujubefork.entry.http;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Supplier;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.core.configuration.KeyGrant;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.Outcome;

/** Restricts endpoints to callers with an operator's access key. */
public final class OperatorAccess {
    private final Supplier<State> state;

    /** Creates a check against the configuration that is in force in {@code state}. */
    public OperatorAccess(Supplier<State> state) {
        this.state = state;
    }

    /** Returns an endpoint that forwards only requests with an operator's key. */
    public Endpoint protect(Endpoint endpoint) {
        return (exchange, variable) -> {
            if (authorize(exchange)) {
                endpoint.handle(exchange, variable);
            }
        };
    }

    /** Returns true if the key is an operator's; otherwise sends an error and returns false. */
    private boolean authorize(Exchange exchange) throws IOException {
        State current = state.get();
        if (current.configuration().isPresent() && !ConfigurationFreshness.isFresh(current)) {
            exchange.sendError(
                    503,
                    ErrorView.of(
                            ErrorCodes.UNAVAILABLE,
                            "the configuration may be out of date, so the key cannot be checked",
                            Outcome.NOT_RUN));
            return false;
        }
        Optional<KeyGrant> grant =
                exchange.accessKey()
                        .map(AccessKeys::hash)
                        .flatMap(h -> current.configuration().flatMap(c -> c.key(h)));
        if (grant.map(KeyGrant::isOperator).orElse(false)) {
            return true;
        }
        exchange.sendError(
                grant.isPresent() ? 403 : 401,
                ErrorView.of(
                        grant.isPresent() ? ErrorCodes.FORBIDDEN : ErrorCodes.UNAUTHORIZED,
                        "this needs an operator's key",
                        Outcome.NOT_RUN));
        return false;
    }
}
