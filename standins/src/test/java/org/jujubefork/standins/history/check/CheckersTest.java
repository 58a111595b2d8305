package org.jujubefork.standins.history.check;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;
import org.testng.annotations.Test;

/** Guards against checkers that pass a history which breaks its promise, or fail a good one. */
public final class CheckersTest {
    private final CapacityChecker capacity = new CapacityChecker();
    private final SinglePlaceChecker places = new SinglePlaceChecker();
    private final AtMostOnceChecker once = new AtMostOnceChecker();

    /** Builds a history; each event is one nanosecond after the one before. */
    private static final class Script {
        private final List<HistoryEvent> events = new ArrayList<>();

        Script worker(String id, long cpuMillis) {
            return add(
                    EventType.WORKER,
                    Map.of(
                            "worker",
                            id,
                            "cpuMillis",
                            cpuMillis,
                            "memoryMb",
                            1000L,
                            "accelerators",
                            0L));
        }

        Script start(String worker, String task, String team, long cpuMillis) {
            return start(worker, task, team, cpuMillis, Map.of());
        }

        Script start(
                String worker, String task, String team, long cpuMillis, Map<String, Object> more) {
            Map<String, Object> fields = new LinkedHashMap<>(more);
            fields.put("worker", worker);
            fields.put("task", task);
            fields.put("team", team);
            fields.put("cpuMillis", cpuMillis);
            fields.put("memoryMb", 1L);
            fields.put("accelerators", 0L);
            return add(EventType.START, fields);
        }

        Script end(String worker, String task) {
            return add(
                    EventType.END, Map.of("worker", worker, "task", task, "reason", "SUCCEEDED"));
        }

        private Script add(EventType type, Map<String, Object> fields) {
            events.add(new HistoryEvent(type, events.size(), 0, fields));
            return this;
        }

        List<HistoryEvent> events() {
            return List.copyOf(events);
        }
    }

    private static List<Long> times(List<Violation> violations) {
        return violations.stream().map(Violation::nanos).toList();
    }

    @Test
    public void capacityIsKeptWhenTasksFollowEachOther() {
        List<HistoryEvent> events =
                new Script()
                        .worker("w1", 10)
                        .worker("w2", 10)
                        .start("w1", "a", "t", 6)
                        .start("w1", "b", "t", 4)
                        .start("w2", "c", "t", 10)
                        .end("w1", "a")
                        .start("w1", "d", "t", 6)
                        .events();
        assertEquals(capacity.check(events), List.of());
    }

    @Test
    public void overcommitIsFoundAtItsStart() {
        List<HistoryEvent> events =
                new Script()
                        .worker("w1", 10)
                        .start("w1", "a", "t", 6)
                        .start("w1", "b", "t", 5)
                        .end("w1", "a")
                        .start("w1", "c", "t", 5)
                        .events();
        assertEquals(times(capacity.check(events)), List.of(2L));
    }

    @Test
    public void startOnAnUnknownWorkerIsFound() {
        List<HistoryEvent> events = new Script().start("w1", "a", "t", 0).events();
        assertEquals(times(capacity.check(events)), List.of(0L));
    }

    /** A killed fleet process records no ends; its workers begin anew without tasks. */
    @Test
    public void newIncarnationEndsTheTasksOfAWorker() {
        List<HistoryEvent> events =
                new Script()
                        .worker("w1", 10)
                        .start("w1", "a", "t", 10)
                        .worker("w1", 10)
                        .start("w1", "b", "t", 10)
                        .events();
        assertEquals(capacity.check(events), List.of());
        assertEquals(places.check(events), List.of());
        assertEquals(new TeamLimitChecker(List.of(limit("t", 0, 10))).check(events), List.of());
    }

    @Test
    public void killedWorkerRunsNothing() {
        List<HistoryEvent> events =
                new Script()
                        .start("w1", "a", "t", 10, job(0))
                        .add(EventType.WORKER_DOWN, Map.of("worker", "w1"))
                        .start("w2", "b", "t", 10, job(0))
                        .events();
        assertEquals(places.check(events), List.of());
        assertEquals(new TeamLimitChecker(List.of(limit("t", 0, 10))).check(events), List.of());
    }

    private static Map<String, Object> job(long index) {
        return Map.of("job", "j", "index", index, "attempt", 1L);
    }

    @Test
    public void taskMayRunElsewhereAfterItsEnd() {
        List<HistoryEvent> events =
                new Script()
                        .start("w1", "a", "t", 1, job(0))
                        .start("w2", "b", "t", 1, job(1))
                        .end("w1", "a")
                        .start("w2", "c", "t", 1, job(0))
                        .events();
        assertEquals(places.check(events), List.of());
    }

    @Test
    public void indexOfAJobInTwoPlacesIsFound() {
        List<HistoryEvent> events =
                new Script()
                        .start("w1", "a", "t", 1, job(0))
                        .start("w2", "b", "t", 1, job(0))
                        .events();
        assertEquals(times(places.check(events)), List.of(1L));
    }

    @Test
    public void taskIdentifierInTwoPlacesIsFound() {
        List<HistoryEvent> events =
                new Script().start("w1", "a", "t", 1).start("w2", "a", "t", 1).events();
        assertEquals(times(places.check(events)), List.of(1L));
    }

    /** The end of the second run must not hide that the first one goes on. */
    @Test
    public void firstRunStaysAfterTheEndOfTheSecond() {
        List<HistoryEvent> events =
                new Script()
                        .start("w1", "a", "t", 1, job(0))
                        .start("w2", "b", "t", 1, job(0))
                        .end("w2", "b")
                        .start("w2", "c", "t", 1, job(0))
                        .events();
        assertEquals(times(places.check(events)), List.of(1L, 3L));
    }

    private static LimitPoint limit(String team, long fromNanos, long cpuMillis) {
        return new LimitPoint(team, fromNanos, Resources.of(cpuMillis, 1000, 0));
    }

    @Test
    public void usageUpToTheLimitIsKept() {
        List<HistoryEvent> events =
                new Script()
                        .start("w1", "a", "t", 6)
                        .start("w2", "b", "t", 4)
                        .start("w2", "c", "other", 100)
                        .end("w1", "a")
                        .start("w1", "d", "t", 6)
                        .events();
        TeamLimitChecker checker = new TeamLimitChecker(List.of(limit("t", 0, 10)));
        assertEquals(checker.check(events), List.of());
    }

    @Test
    public void usageAcrossWorkersAboveTheLimitIsFound() {
        List<HistoryEvent> events =
                new Script()
                        .start("w1", "a", "t", 6)
                        .start("w2", "b", "t", 5)
                        .end("w1", "a")
                        .events();
        TeamLimitChecker checker = new TeamLimitChecker(List.of(limit("t", 0, 10)));
        assertEquals(times(checker.check(events)), List.of(1L));
    }

    @Test
    public void limitsHoldFromTheirTimeOn() {
        List<HistoryEvent> events =
                new Script()
                        .start("w1", "a", "t", 6)
                        .start("w1", "b", "t", 4)
                        .end("w1", "a")
                        .start("w1", "c", "t", 2)
                        .events();
        assertEquals(
                new TeamLimitChecker(List.of(limit("t", 0, 10), limit("t", 3, 6))).check(events),
                List.of());
        List<Violation> lowered =
                new TeamLimitChecker(List.of(limit("t", 2, 6), limit("t", 0, 10))).check(events);
        assertEquals(times(lowered), List.of(2L));
        List<Violation> raisedTooLate =
                new TeamLimitChecker(List.of(limit("t", 0, 9), limit("t", 2, 10))).check(events);
        assertEquals(times(raisedTooLate), List.of(1L));
    }

    private static Map<String, Object> key(String key) {
        return Map.of("idempotencyKey", key);
    }

    @Test
    public void keysOfDifferentTeamsAreDifferent() {
        List<HistoryEvent> events =
                new Script()
                        .start("w1", "a", "t", 1, key("k"))
                        .start("w1", "b", "u", 1, key("k"))
                        .start("w1", "c", "t", 1, key("l"))
                        .start("w1", "d", "t", 1)
                        .start("w1", "e", "t", 1)
                        .events();
        assertEquals(once.check(events), List.of());
    }

    @Test
    public void secondStartOfAKeyIsFound() {
        List<HistoryEvent> events =
                new Script()
                        .start("w1", "a", "t", 1, key("k"))
                        .end("w1", "a")
                        .start("w2", "b", "t", 1, key("k"))
                        .events();
        List<Violation> violations = once.check(events);
        assertEquals(times(violations), List.of(2L));
        assertTrue(violations.get(0).message().contains("started as a and as b"));
    }
}
