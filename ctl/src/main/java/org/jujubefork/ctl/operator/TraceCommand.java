package org.jujubefork.ctl.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.jujubefork.ctl.command.CommandException;
import org.jujubefork.ctl.command.CommandSpec;
import org.jujubefork.ctl.command.Console;
import org.jujubefork.ctl.command.ExitCode;
import org.jujubefork.ctl.command.Invocation;
import org.jujubefork.ctl.command.OptionSpecs;

/** The command {@code trace}, which reconstructs the history of a job from log files. */
final class TraceCommand {
    private static final String LOGS = "logs";

    private TraceCommand() {}

    static List<CommandSpec> specs() {
        return List.of(
                CommandSpec.of(
                        "trace",
                        List.of("ID"),
                        "Reconstructs the history of a job from log files. Needs no entry.",
                        TraceCommand::trace,
                        OptionSpecs.repeatable(LOGS, "FILE", "log files of the entries")));
    }

    private static ExitCode trace(Invocation invocation) throws CommandException {
        invocation.requiredOption(LOGS);
        List<LogLine> lines = new ArrayList<>();
        for (String file : invocation.options(LOGS)) {
            lines.addAll(read(Path.of(file)));
        }
        JobTrace trace = JobTrace.of(invocation.arguments().getFirst(), lines);
        invocation.console().print(trace, () -> print(invocation.console(), trace));
        return trace.lines().isEmpty() ? ExitCode.FAILED : ExitCode.OK;
    }

    private static List<LogLine> read(Path file) throws CommandException {
        String name = String.valueOf(file.getFileName());
        try (Stream<String> text = Files.lines(file)) {
            return text.flatMap(l -> LogLine.parse(name, l).stream()).toList();
        } catch (IOException e) {
            throw CommandException.usage("cannot read " + file + ": " + e);
        }
    }

    private static void print(Console console, JobTrace trace) {
        for (String finding : trace.findings()) {
            console.line(finding);
        }
        if (trace.lines().isEmpty()) {
            return;
        }
        console.line("");
        long start = trace.lines().getFirst().at();
        console.table(
                List.of("ms", "entry", "event", "subject", "detail"),
                trace.lines().stream().map(l -> row(l, start)).toList());
    }

    private static List<String> row(LogLine line, long start) {
        StringBuilder detail = new StringBuilder();
        new TreeMap<>(line.detail()).forEach((k, v) -> detail.append(k + "=" + v + " "));
        return List.of(
                Long.toString(line.at() - start),
                line.source(),
                line.event(),
                line.subject(),
                detail.toString().strip());
    }
}
