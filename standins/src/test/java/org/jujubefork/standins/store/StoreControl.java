package org.jujubefork.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jujubefork.standins.http.Call;
import org.jujubefork.standins.http.Reply;

/** Endpoints that switch faults on and off. */
final class StoreControl {
    private StoreControl() {}

    static Reply handle(KeyValueStore store, Call call) {
        switch (call.path()) {
            case "/control/outage" -> store.outage(call.text("on").equals("true"));
            case "/control/ignore-revisions" ->
                    store.ignoreRevisions(call.text("on").equals("true"));
            case "/control/slow" -> store.slowMillis(call.number("millis"));
            case "/control/lose-answers" -> store.loseAnswers(call.number("count"));
            case "/control/nonsense" -> store.nonsense(call.number("count"));
            case "/control/counters" -> {
                ObjectNode answer = Reply.object();
                store.counters().forEach(answer::put);
                return Reply.json(200, answer);
            }
            default -> {
                return Reply.error(404, "NO_SUCH_RESOURCE", call.path());
            }
        }
        return Reply.json(200, Reply.object());
    }
}
