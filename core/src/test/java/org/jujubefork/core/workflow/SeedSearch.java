package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

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

    /** Plays {@code day} and returns the rules that it breaks. */
    static List<String> failures(Day day) {
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

    /** Plays the seeds from {@code first} to before {@code end} and prints what they break. */
    static void print(long first, long end, LongFunction<Day> days) {
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
