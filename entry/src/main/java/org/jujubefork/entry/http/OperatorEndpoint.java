package org.jujubefork.entry.http;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.glassfish.grizzly.http.Method;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.client.api.DrainView;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.client.api.ExplainView;
import org.jujubefork.client.api.TasksView;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.Outcome;

/** Serves operators the state of the cell, and lets them drain and stop this entry. */
public final class OperatorEndpoint {
    private final Supplier<State> state;
    private final Runnable stop;
    private final OperatorAccess access;
    private final FleetViews fleet;

    /**
     * Creates an endpoint.
     *
     * @param state returns the latest control state
     * @param stop starts the drain and stop of this entry; returns immediately
     * @param access restricts the routes to operators
     * @param fleet collects the workers and tasks of all shards
     */
    public OperatorEndpoint(
            Supplier<State> state, Runnable stop, OperatorAccess access, FleetViews fleet) {
        this.fleet = fleet;
        this.state = state;
        this.stop = stop;
        this.access = access;
    }

    /** Returns the routes; all of them require an operator's key. */
    public List<Route> routes() {
        return List.of(
                Route.exact(Method.GET, ApiPaths.STATUS, access.protect(this::status)),
                Route.exact(Method.GET, ApiPaths.WORKERS, access.protect(this::workers)),
                Route.exact(Method.GET, ApiPaths.TASKS, access.protect(this::tasks)),
                Route.exact(Method.GET, ApiPaths.EXPLAIN, access.protect(this::explain)),
                Route.exact(Method.POST, ApiPaths.DRAIN, access.protect(this::drain)));
    }

    private void status(Exchange exchange, String variable) throws IOException {
        exchange.sendJson(200, StatusViews.status(state.get()));
    }

    private void workers(Exchange exchange, String variable)
            throws IOException, InterruptedException {
        exchange.sendJson(200, fleet.workers());
    }

    private void tasks(Exchange exchange, String variable)
            throws IOException, InterruptedException {
        TasksView collected = fleet.tasks();
        exchange.sendJson(
                200,
                new TasksView(
                        collected.tasks().stream()
                                .filter(t -> matches(exchange, "team", t.team()))
                                .filter(t -> matches(exchange, "queue", t.queue()))
                                .filter(t -> matches(exchange, "job", t.job()))
                                .filter(t -> matches(exchange, "worker", t.worker()))
                                .toList(),
                        collected.missing()));
    }

    private static boolean matches(Exchange exchange, String parameter, String value) {
        return exchange.queryParameter(parameter).map(value::equals).orElse(true);
    }

    private void explain(Exchange exchange, String variable) throws IOException {
        String subject = exchange.queryParameter("subject").orElse("");
        String id = exchange.queryParameter("id").orElse("");
        try {
            Optional<ExplainView> view = ExplainViews.of(state.get(), subject, id);
            if (view.isPresent()) {
                exchange.sendJson(200, view.get());
                return;
            }
            exchange.sendError(
                    404,
                    ErrorView.of(
                            ErrorCodes.NOT_FOUND,
                            "unknown to this entry: " + subject + " " + id,
                            Outcome.NOT_RUN));
        } catch (IllegalArgumentException e) {
            Refusals.sendInvalidRequest(exchange, e.getMessage());
        }
    }

    private void drain(Exchange exchange, String variable) throws IOException {
        State current = state.get();
        exchange.sendJson(
                200,
                new DrainView(
                        current.self().id().name(),
                        "draining",
                        current.requests().active().size()));
        stop.run();
    }
}
