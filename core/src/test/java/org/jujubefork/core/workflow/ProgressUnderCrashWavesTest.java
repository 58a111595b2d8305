package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.stream.LongStream;
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
        return LongStream.range(0, 4).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void oldWorkRunsAfterCrashWaves(long seed) {
        assertEquals(String.join("\n", SeedSearch.failures(day(seed, FINISH_MILLIS))), "");
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
        SeedSearch.print(
                Long.parseLong(arguments[0]),
                Long.parseLong(arguments[1]),
                seed -> day(seed, calmMillis));
    }
}
