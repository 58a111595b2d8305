package org.jujubefork.standins.proof;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;
import org.jujubefork.standins.history.check.AtMostOnceChecker;
import org.jujubefork.standins.history.check.CapacityChecker;
import org.jujubefork.standins.history.check.SinglePlaceChecker;
import org.jujubefork.standins.history.check.Violation;
import org.testng.Assert;

/** What all proofs judge, from the workers' history and from what the callers saw. */
final class Judgement {
    private static final int TWIN_RUNS = 3;

    private Judgement() {}

    /** Announces the seed of a test. */
    @SuppressWarnings("SystemOut") // a failed run is repeated with the printed seed
    static long seed(String test, long seed) {
        System.out.println("seed test=" + test + " seed=" + seed);
        return seed;
    }

    /** Prints a figure that docs/PROOFS.md reports. */
    @SuppressWarnings("SystemOut")
    static void seen(String test, String what) {
        System.out.println("seen test=" + test + " " + what);
    }

    /** Counts what a checker finds in one run with a mechanism off. */
    @FunctionalInterface
    interface Twin {
        int violations(long seed) throws Exception;
    }

    /**
     * Runs a twin with the mechanism off, up to three times with consecutive seeds, until the
     * checker finds something: the fault has to meet a request in flight, which one run may miss.
     */
    static void seesViolations(String test, long firstSeed, Twin twin) throws Exception {
        int found = 0;
        for (int run = 0; run < TWIN_RUNS && found == 0; run++) {
            found = twin.violations(seed(test, firstSeed + run));
            seen(test, "violations=" + found);
        }
        Assert.assertTrue(found > 0, "the checker found nothing with the mechanism off");
    }

    /** Judges P1, P2, P5, P6 and P7. */
    static void safe(List<HistoryEvent> history, List<CallRecord> calls) {
        none(new CapacityChecker().check(history));
        none(new SinglePlaceChecker().check(history));
        none(new EpochChecker().check(history));
        none(atMostOnce(history));
        none(falseNotRun(history, calls));
        none(calls.stream().filter(CallRecord::wrongBody).toList());
    }

    /** Returns violations of P7; lookups may start more than once. */
    static List<Violation> atMostOnce(List<HistoryEvent> history) {
        return new AtMostOnceChecker()
                .check(
                        history.stream()
                                .filter(e -> e.text("kind").equals(WorkKind.COMMAND.name()))
                                .toList());
    }

    /** Returns violations of P6: calls answered "not run" that a worker started. */
    static List<CallRecord> falseNotRun(List<HistoryEvent> history, List<CallRecord> calls) {
        Set<String> started = started(history);
        return calls.stream()
                .filter(c -> c.outcome() == Outcome.NOT_RUN && started.contains(c.id()))
                .toList();
    }

    /** Returns the idempotency keys of all starts. */
    static Set<String> started(List<HistoryEvent> history) {
        Set<String> keys = new HashSet<>();
        history.stream()
                .filter(e -> e.type() == EventType.START)
                .forEach(e -> keys.add(e.text("idempotencyKey")));
        return keys;
    }

    static void none(List<?> violations) {
        Assert.assertTrue(
                violations.isEmpty(),
                violations.size() + " violations: " + violations.stream().limit(5).toList());
    }

    static long count(List<CallRecord> calls, Predicate<CallRecord> which) {
        return calls.stream().filter(which).count();
    }

    static String summary(List<CallRecord> calls) {
        return "calls="
                + calls.size()
                + " done="
                + count(calls, c -> c.outcome() == Outcome.DONE)
                + " notRun="
                + count(calls, c -> c.outcome() == Outcome.NOT_RUN)
                + " unknown="
                + count(calls, c -> c.outcome() == Outcome.UNKNOWN)
                + " retried="
                + count(calls, c -> c.attempts() > 1)
                + " reasons="
                + calls.stream()
                        .filter(c -> c.outcome() != Outcome.DONE)
                        .collect(
                                Collectors.groupingBy(
                                        c -> (c.command() ? "command/" : "lookup/") + c.reason(),
                                        TreeMap::new,
                                        Collectors.counting()));
    }
}
