package org.jujubefork.core.workflow;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a start on a worker whose service, labels or capacity have changed with a restart
 * that the leader knows of, because what the worker list said of the earlier incarnation is used
 * for the present one. More seeds are run by hand with {@link #main}.
 */
public final class ChangedKindTest {
    @DataProvider
    public Object[][] seeds() {
        return SeedSearch.seeds(40);
    }

    @Test(dataProvider = "seeds")
    public void startsFitThePresentIncarnation(long seed) {
        SeedSearch.assertNothingIsBroken(day(seed, false));
    }

    private static SeedSearch.Day day(long seed, boolean checksUnawareStarts) {
        ChangedKindScenario scenario = new ChangedKindScenario(seed, checksUnawareStarts);
        return new SeedSearch.Day(scenario.simulation, scenario.lostRule, scenario::run);
    }

    /**
     * Runs the seeds from {@code arguments[0]} to before {@code arguments[1]} and prints the rules
     * that they break. With a third argument, starts are checked as well that were sent before the
     * leader knew of the restart.
     */
    public static void main(String[] arguments) {
        SeedSearch.print(arguments, seed -> day(seed, arguments.length > 2));
    }
}
