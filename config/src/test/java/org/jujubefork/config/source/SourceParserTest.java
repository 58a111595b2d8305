package org.jujubefork.config.source;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

/** Guards against wrong positions, on which both findings and in-place edits rely. */
public final class SourceParserTest {
    /**
     * Guards against positions that become wrong at the boundaries of the buffers of some thousand
     * characters in which the parser reads.
     */
    @Test
    public void positionsAreCorrectInLargeTexts() {
        long seed = 31;
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder("[");
        for (int i = 0; i < 20_000; i++) {
            text.append(i == 0 ? "" : ",")
                    .append(" \n".repeat(random.nextInt(2)))
                    .append(random.nextInt(5) == 0 ? "/* , ] é */" : " ")
                    .append(
                            switch (random.nextInt(4)) {
                                case 0 -> "\"a\\u0041\\n\"";
                                case 1 -> "-12.5e3";
                                case 2 -> "true";
                                default -> Integer.toString(random.nextInt(1_000_000));
                            })
                    .append(random.nextInt(5) == 0 ? " // ,\n" : "");
        }
        String all = text.append("\n]").toString();
        SourceText source = SourceParser.parse("t", all);
        assertEquals(source.findings(), List.of(), "seed " + seed);
        for (SourceValue value : source.root().orElseThrow().elements()) {
            int start = value.start().offset();
            String literal = all.substring(start, value.endOffset());
            String expected = value.is(SourceKind.STRING) ? "\"a\\u0041\\n\"" : value.text();
            assertEquals(literal, expected, "seed " + seed + " at " + value.start());
            int lineStart = all.lastIndexOf('\n', start - 1) + 1;
            assertEquals(value.start().column(), start - lineStart + 1, "seed " + seed);
        }
    }

    @Test
    public void duplicateNamesAreReportedWithBothPositions() {
        SourceText source = SourceParser.parse("t", "{\"a\": 1,\n \"a\": 2}");
        assertEquals(source.findings().size(), 1);
        String message = source.findings().getFirst().toString();
        assertTrue(message.startsWith("t:2:2: error: $.a: the field \"a\" is repeated"), message);
        assertTrue(message.endsWith("first at t:1:2"), message);
        assertEquals(
                source.root().flatMap(root -> root.member("a")).map(SourceValue::text),
                Optional.of("1"));
    }

    @Test
    public void syntaxErrorGivesExactlyOneFinding() {
        for (String text :
                List.of("", "  ", "// x", "{} {}", "[1,]", "{'a': 1}", "nul", "[".repeat(5_000))) {
            SourceText source = SourceParser.parse("t", text);
            assertEquals(source.findings().size(), 1, text);
            assertEquals(source.root(), Optional.empty(), text);
        }
    }
}
