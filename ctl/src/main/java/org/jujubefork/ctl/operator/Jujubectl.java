package org.jujubefork.ctl.operator;

import java.util.List;
import java.util.stream.Stream;
import org.jujubefork.ctl.command.CommandSpec;
import org.jujubefork.ctl.command.Program;

/** The {@code jujubectl} program, with which operators configure and inspect a cell. */
public final class Jujubectl {
    private static final List<CommandSpec> COMMANDS =
            Stream.of(
                            ConfigCommands.specs(),
                            KeyAndTeamCommands.specs(),
                            ViewCommands.specs(),
                            EvacuationCommand.specs(),
                            TraceCommand.specs())
                    .flatMap(List::stream)
                    .toList();

    private Jujubectl() {}

    /** Returns the program with all its commands. */
    public static Program program() {
        return new Program(
                "jujubectl",
                "Configures and inspects a cell. Needs an operator's key, except for checks of files.",
                COMMANDS);
    }

    /** Runs the command named by {@code args} and exits with its exit code. */
    public static void main(String[] args) {
        program().runAndExit(args);
    }
}
