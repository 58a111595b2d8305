package rig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks a part of the rule TWICE: a start after a run of the task has ended done, if that end is taken note of then or
 * later, unless the lease of the worker lapsed between the two.
 */
public final class TwiceJudge implements Worker.Listener {
    private record Done(Worker worker, Worker.Life life, long number, long run, int lapses) {}

    private record Start(String task, long run, Worker worker, Done end) {}

    private final Record record;
    private final Map<String, Done> done = new HashMap<>();
    private final List<Start> lateStarts = new ArrayList<>();
    private int starts;

    public TwiceJudge(Record record) {
        this.record = record;
    }

    @Override
    public synchronized void started(Worker w, Worker.Life life, String task, long run, long fence, JsonNode order) {
        starts++;
        record.line("%s starts %s run %d, fence %d", w.id, task, run, fence);
        Done end = done.get(task);
        if (end != null) {
            lateStarts.add(new Start(task, run, w, end));
        }
    }

    @Override
    public synchronized void ended(Worker w, Worker.Life life, Worker.End end) {
        record.line("%s ends %d: %s run %d %s", w.id, end.number(), end.task(), end.run(), end.how());
        if (end.how().equals("done")) {
            done.putIfAbsent(end.task(), new Done(w, life, end.number(), end.run(), life.lapses));
        }
    }

    @Override
    public void seen(Worker w, Worker.Life life, long upTo) {
        record.line("%s: ends up to %d are taken note of", w.id, upTo);
    }

    /** Returns whether the rule was broken, and records each start that breaks it. */
    public synchronized boolean isBroken() {
        int broken = 0;
        Set<String> tasks = new HashSet<>();
        for (Start start : lateStarts) {
            Done end = start.end();
            boolean noted = end.life().seenUpTo >= end.number();
            boolean lapsed = end.life().lapses > end.lapses();
            record.line(
                    "task %s: run %d ended done on %s (end %d, taken note of: %s, lease lapsed between: %s), then run %d"
                            + " was started on %s",
                    start.task(), end.run(), end.worker().id, end.number(), noted, lapsed, start.run(), start.worker().id);
            if (noted && !lapsed) {
                broken++;
                tasks.add(start.task());
            }
        }
        String result = "%d starts; TWICE broken by %d starts of %d tasks".formatted(starts, broken, tasks.size());
        record.line(result);
        System.out.println(result);
        return broken > 0;
    }
}
