package org.jujubefork.entry.http;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Supplier;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.core.configuration.KeyGrant;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Freshness;
import org.jujubefork.core.model.Outcome;

/** Lets only operators through to an endpoint. */
public final class OperatorAccess {
    private final Supplier<State> state;

    /** Creates a check against the configuration in force in {@code state}. */
    public OperatorAccess(Supplier<State> state) {
        this.state = state;
    }

    /** Returns {@code endpoint} behind a check of the operator's key. */
    public Endpoint protect(Endpoint endpoint) {
        return (exchange, variable) -> {
            if (mayPass(exchange)) {
                endpoint.handle(exchange, variable);
            }
        };
    }

    private boolean mayPass(Exchange exchange) throws IOException {
        State now = state.get();
        if (now.configuration().isPresent() && !Freshness.isFresh(now)) {
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
                        .flatMap(h -> now.configuration().flatMap(c -> c.key(h)));
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
