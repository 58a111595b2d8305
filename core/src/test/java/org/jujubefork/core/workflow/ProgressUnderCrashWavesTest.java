package org.jujubefork.core.workflow;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against accepted work that lost its workers and never runs again, because the advice
 * service is busy with the requests of newer jobs (issue 36). More seeds are run by hand with
 * {@link #main}.
 */
public final class ProgressUnderCrashWavesTest {
    /**
     * Time from the end of the load until the platform looks for accepted work that does not run.
     */
    private static final long FINISH_MILLIS = 14_000;

    @DataProvider
    public Object[][] seeds() {
        return SeedSearch.seeds(4);
    }

    @Test(dataProvider = "seeds")
    public void oldWorkRunsAfterCrashWaves(long seed) {
        SeedSearch.assertNothingIsBroken(day(seed, FINISH_MILLIS));
    }

    private static SeedSearch.Day day(long seed, long calmMillis) {
        CrashWaveScenario scenario = new CrashWaveScenario(seed, calmMillis);
        return new SeedSearch.Day(scenario.simulation, scenario.lostRule, scenario::run);
    }

    /**
     * Runs the seeds from {@code arguments[0]} to before {@code arguments[1]} and prints the rules
     * that they break. {@code arguments[2]} is the calm time in milliseconds.
     */
    public static void main(String[] arguments) {
        long calmMillis = arguments.length > 2 ? Long.parseLong(arguments[2]) : FINISH_MILLIS;
        SeedSearch.print(arguments, seed -> day(seed, calmMillis));
    }
}
