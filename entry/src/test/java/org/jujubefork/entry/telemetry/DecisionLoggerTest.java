package org.jujubefork.entry.telemetry;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.model.TeamId;
import org.testng.annotations.Test;

/** Guards against log lines that cannot be parsed because a value is not quoted or escaped. */
public final class DecisionLoggerTest {
    private static String field(String value) {
        StringBuilder line = new StringBuilder();
        LogFields.append(line, "k", value);
        return line.toString();
    }

    @Test
    public void valuesAreQuotedWhereNeeded() {
        assertEquals(field("plain"), "k=plain");
        assertEquals(field(""), "");
        assertEquals(field("two words"), "k=\"two words\"");
        assertEquals(field("a=b"), "k=\"a=b\"");
        assertEquals(field("say \"x\""), "k=\"say \\\"x\\\"\"");
        assertEquals(field("back\\slash"), "k=\"back\\\\slash\"");
        assertEquals(field("a\nb"), "k=\"a\\nb\"");
    }

    @Test
    public void aCarriageReturnDoesNotStartAnotherLine() {
        assertEquals(field("a\rb"), "k=\"a\\rb\"");
    }

    @Test
    public void aDecisionIsOneLineOfFields() {
        DecisionKind kind = DecisionKind.PLACED;
        String line =
                DecisionLogger.format(
                        new LogDecision(
                                kind, "r-1", Optional.of(TeamId.of("t")), "", "no room", 3, 12));
        assertEquals(
                line,
                "event="
                        + kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-')
                        + " subject=r-1 team=t reason=\"no room\" alternatives=3 waited_ms=12");
    }
}
