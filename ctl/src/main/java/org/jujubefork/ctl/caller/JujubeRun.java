package org.jujubefork.ctl.caller;

import org.jujubefork.ctl.command.Program;

/** The command line of callers. */
public final class JujubeRun {
    private JujubeRun() {}

    /** Returns the program. */
    public static Program program() {
        return new Program(
                "jujube-run",
                "Sends requests and jobs to a cell. Needs a team's key, except for open queues.",
                RunCommands.specs());
    }

    /** Runs the command line and exits with the code of its command. */
    public static void main(String[] args) {
        program().runAndExit(args);
    }
}
