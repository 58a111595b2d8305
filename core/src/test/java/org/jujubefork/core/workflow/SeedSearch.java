package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/** Plays seeded days of the simulation and collects the rules that they break. */
final class SeedSearch {
    /**
     * A day that has not been played yet.
     *
     * @param simulation its entries and workers
     * @param lostRule the check of accepted work
     * @param play plays the day
     */
    record Day(Simulation simulation, LostRuleChecker lostRule, Runnable play) {}

    private SeedSearch() {}

    /** Returns the seeds below {@code end} for a data provider. */
    static Object[][] seeds(long end) {
        return LongStream.range(0, end).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    /** Plays {@code day} and fails if it breaks a rule. */
    static void assertNothingIsBroken(Day day) {
        assertEquals(String.join("\n", failures(day)), "");
    }

    /** Plays {@code day} and returns the rules that it breaks. */
    private static List<String> failures(Day day) {
        day.play().run();
        List<String> failures = new ArrayList<>();
        day.simulation().violations().forEach(v -> failures.add("SAFETY " + v));
        for (LostRuleChecker.Violation violation : day.lostRule().violations()) {
            failures.add(
                    "LOST since="
                            + violation.since()
                            + " at="
                            + violation.at()
                            + " "
                            + violation.report());
        }
        return failures;
    }

    /**
     * Plays the seeds from {@code arguments[0]} to before {@code arguments[1]}, which the main
     * method of a test has got, and prints what they break.
     */
    static void print(String[] arguments, LongFunction<Day> days) {
        long first = Long.parseLong(arguments[0]);
        long end = Long.parseLong(arguments[1]);
        long failed = 0;
        for (long seed = first; seed < end; seed++) {
            List<String> failures = new ArrayList<>();
            try {
                failures.addAll(failures(days.apply(seed)));
            } catch (RuntimeException e) {
                failures.add("EXCEPTION " + e + " at " + e.getStackTrace()[0]);
            }
            failed += failures.isEmpty() ? 0 : 1;
            for (String failure : failures) {
                System.out.println("seed " + seed + " " + failure);
            }
        }
        System.out.println((end - first) + " seeds from " + first + ", failed: " + failed);
    }
}
