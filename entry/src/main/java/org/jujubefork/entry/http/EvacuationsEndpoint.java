package org.jujubefork.entry.http;

import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.glassfish.grizzly.http.Method;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.client.api.EvacuationsView;
import org.jujubefork.core.workflow.EvacuatedZone;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.WorkflowState;

/** Shows operators the evacuated zones as this entry knows them. */
public final class EvacuationsEndpoint {
    private final Supplier<WorkflowState> state;
    private final LongSupplier now;

    /**
     * Creates an endpoint.
     *
     * @param state returns the latest control state
     * @param now returns the current time in milliseconds, on the clock that the state uses
     */
    public EvacuationsEndpoint(Supplier<WorkflowState> state, LongSupplier now) {
        this.state = state;
        this.now = now;
    }

    /** Returns the route. */
    public Route route() {
        return Route.exact(Method.GET, ApiPaths.EVACUATIONS, this::evacuations);
    }

    private void evacuations(Exchange exchange, String variable) throws IOException {
        exchange.sendJson(200, view(state.get(), now.getAsLong()));
    }

    static EvacuationsView view(WorkflowState state, long now) {
        List<EvacuationsView.ZoneView> zones =
                EvacuatedZone.of(state).stream()
                        .map(
                                z ->
                                        new EvacuationsView.ZoneView(
                                                z.zone(),
                                                Math.max(0, now - z.since()),
                                                z.workers(),
                                                z.running(),
                                                z.waitingSteps()))
                        .toList();
        return new EvacuationsView(
                state.entry(),
                state.evacuations().enabled(),
                state.leadership().leads(),
                state.leadership().leaderRecord().map(LeaderRecord::address).orElse(""),
                state.evacuations().isFresh(now),
                zones);
    }
}
