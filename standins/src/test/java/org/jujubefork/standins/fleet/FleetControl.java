package org.jujubefork.standins.fleet;

import java.io.IOException;
import java.util.List;
import org.jujubefork.standins.http.Call;
import org.jujubefork.standins.http.Reply;

/** Endpoints {@code /control/workers/{id}/{action}} that switch faults on and off. */
final class FleetControl {
    private static final String PREFIX = "/control/workers/";

    private FleetControl() {}

    static Reply handle(WorkerFleet fleet, Call call) {
        List<String> segments =
                call.path().startsWith(PREFIX) ? call.segmentsAfter(PREFIX) : List.of();
        if (segments.size() != 2) {
            return Reply.error(404, "NO_SUCH_RESOURCE", call.path());
        }
        try {
            return act(fleet, segments.get(0), segments.get(1), call);
        } catch (IOException e) {
            return Reply.error(500, "FAILED", String.valueOf(e.getMessage()));
        }
    }

    private static Reply act(WorkerFleet fleet, String worker, String action, Call call)
            throws IOException {
        boolean on = call.text("on").equals("true");
        switch (action) {
            case "fail-starts" -> fleet.failStarts(worker, on);
            case "leaving" -> fleet.leaving(worker, on);
            case "cut" -> fleet.cut(worker);
            case "restore" -> fleet.restore(worker);
            case "restart" -> fleet.restart(worker);
            case "delay" -> fleet.delayMillis(worker, call.number("millis"));
            case "lose-answers" -> fleet.loseAnswers(worker, call.number("count"));
            case "state" -> {
                return state(fleet.state(worker));
            }
            default -> {
                return Reply.error(404, "NO_SUCH_RESOURCE", call.path());
            }
        }
        return Reply.json(200, Reply.object());
    }

    private static Reply state(WorkerState state) {
        return Reply.json(
                200,
                Reply.object()
                        .put("incarnation", state.incarnation())
                        .put("epoch", state.epoch().map(e -> e.number()).orElse(0L))
                        .put("leased", state.leaseEndsNanos().isPresent())
                        .put("leaving", state.leaving())
                        .put("running", state.running().size())
                        .put("ended", state.ended().size()));
    }
}
