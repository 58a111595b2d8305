package org.jujubefork.ctl.caller;

import org.jujubefork.ctl.command.Program;

/** The {@code jujube-run} program, with which teams send requests and submit jobs. */
public final class JujubeRun {
    private JujubeRun() {}

    /** Returns the program with all its commands. */
    public static Program program() {
        return new Program(
                "jujube-run",
                "Sends requests and jobs to a cell. Needs a team's key, except for open queues.",
                RunCommands.specs());
    }

    /** Runs the command named by {@code args} and exits with its exit code. */
    public static void main(String[] args) {
        program().runAndExit(args);
    }
}
