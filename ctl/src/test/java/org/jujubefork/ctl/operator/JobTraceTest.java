package org.jujubefork.ctl.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.jujubefork.ctl.command.Console;
import org.testng.annotations.Test;

/** Guards against a trace that omits the cause of a delay, or hides that lines are missing. */
public final class JobTraceTest {
    private static final String ID = "30d7570e7f4630f4";

    /** Excerpt of a simulation log: the leader was killed before the first task started. */
    private static final List<String> LATE_START_LOG =
            List.of(
                    "ts=1790241261588 event=job-accepted subject=ID queue=q team=t steps=1 stored_ms=45",
                    "ts=1790241262000 event=job-accepted subject=other queue=q team=t steps=1",
                    "ts=1790241262100 event=claim subject=2 reason=leader-process-gone replaces=3",
                    "ts=1790241262200 event=lead subject=2 fence=9 jobs=1 finished=0 workers=33",
                    "ts=1790241263000 event=task-start subject=ID.0.0.0 run=10001 worker=w waited_ms=1400",
                    "ts=1790241264000 event=task-ended subject=ID.0.0.0 run=10001 worker=w how=DONE");

    private static List<LogLine> parse(Stream<String> lines) {
        return lines.map(l -> l.replace("ID", ID))
                .flatMap(l -> LogLine.parse("e1.log", l).stream())
                .toList();
    }

    @Test
    public void longWaitListsConcurrentEvents() {
        JobTrace trace = JobTrace.of(ID, parse(LATE_START_LOG.stream()));
        assertEquals(
                trace.findings(),
                List.of(
                        "accepted for t on q, stored after 45 ms",
                        "run 10001 of " + ID + ".0.0.0 waited 1400 ms while: claim 2, lead 2"));
        assertTrue(trace.lines().stream().noneMatch(l -> l.subject().equals("other")));
    }

    @Test
    public void missingStartOrEndIsReported() {
        JobTrace withoutStart =
                JobTrace.of(
                        ID, parse(LATE_START_LOG.stream().filter(l -> !l.contains("task-start"))));
        assertTrue(
                withoutStart.findings().stream().anyMatch(f -> f.contains("no start")),
                withoutStart.findings().toString());
        JobTrace withoutEnd =
                JobTrace.of(
                        ID, parse(LATE_START_LOG.stream().filter(l -> !l.contains("task-ended"))));
        assertTrue(
                withoutEnd.findings().stream().anyMatch(f -> f.contains("has no end")),
                withoutEnd.findings().toString());
    }

    @Test
    public void refusalAndFailureAreReported() {
        JobTrace trace =
                JobTrace.of(
                        ID,
                        parse(
                                Stream.of(
                                        "ts=1790241261000 event=call-refused subject=/q/ID reason=no-leader configuration_age_ms=8",
                                        "ts=1790241262000 event=task-start subject=ID.0.0.0 run=1 worker=w waited_ms=9",
                                        "ts=1790241263000 event=task-ended subject=ID.0.0.0 run=1 worker=w how=FAILED",
                                        "ts=1790241263001 event=job-failed subject=ID task=ID.0.0.0 failures=1 attempts=1 worker=w")));
        assertEquals(
                trace.findings(),
                List.of(
                        "refused by e1.log: no-leader",
                        "failed: 1 failures of " + ID + ".0.0.0 with 1 attempts, the last on w",
                        "1 runs ended as FAILED"));
    }

    @Test
    public void quotedValuesAreUnescaped() {
        LogLine line =
                LogLine.parse(
                                "f",
                                "  4.2 e-7 ts=1790241261000 event=dependency-lost subject=store"
                                        + " reason=\"no \\\"route\\\" to = host\"")
                        .orElseThrow();
        assertEquals(line.source(), "e-7");
        assertEquals(line.value("reason"), "no \"route\" to = host");
        assertTrue(LogLine.parse("f", "WARNING: something else").isEmpty());
    }

    @Test
    public void commandReadsSeveralFiles() throws IOException {
        Path folder = Files.createTempDirectory("trace");
        Path first = Files.write(folder.resolve("a.log"), linesOfJob(0, 2));
        Path second = Files.write(folder.resolve("b.log"), linesOfJob(2, LATE_START_LOG.size()));
        StringWriter out = new StringWriter();
        String[] arguments = {"trace", ID, "--logs", first.toString(), second.toString()};
        run(out, arguments);
        assertTrue(out.toString().contains("waited 1400 ms while: claim 2"), out.toString());
        assertTrue(out.toString().contains("b.log  task-start"), out.toString());
    }

    private static List<String> linesOfJob(int from, int to) {
        return LATE_START_LOG.subList(from, to).stream().map(l -> l.replace("ID", ID)).toList();
    }

    private static void run(StringWriter out, String... arguments) {
        PrintWriter writer = new PrintWriter(out, true);
        Jujubectl.program()
                .run(
                        arguments,
                        Console.of(writer, writer, Console.Format.TEXT),
                        Map.of(),
                        new Random(1));
    }
}
