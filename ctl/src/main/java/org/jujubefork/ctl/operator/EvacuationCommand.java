package org.jujubefork.ctl.operator;

import java.util.List;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.EvacuationsView;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.NotReachableException;
import org.jujubefork.ctl.command.CommandException;
import org.jujubefork.ctl.command.CommandSpec;
import org.jujubefork.ctl.command.Console;
import org.jujubefork.ctl.command.ExitCode;
import org.jujubefork.ctl.command.Invocation;
import org.jujubefork.ctl.command.OptionSpecs;

/** The command {@code evacuations}, which shows the evacuated zones of a platform. */
final class EvacuationCommand {
    private static final String DAEMON = "daemon";

    private EvacuationCommand() {}

    static List<CommandSpec> specs() {
        return List.of(
                CommandSpec.of(
                        "evacuations",
                        List.of(),
                        "Shows the evacuated zones as an entry on the platform knows them.",
                        EvacuationCommand::evacuations,
                        OptionSpecs.value(DAEMON, "HOST:PORT", "readiness address of the entry")));
    }

    private static ExitCode evacuations(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        List<String> daemon = List.of(invocation.requiredOption(DAEMON));
        try (ApiClient client = invocation.connect(daemon)) {
            EvacuationsView view = client.evacuations();
            Console console = invocation.console();
            console.print(view, () -> print(console, view));
        }
        return ExitCode.OK;
    }

    private static void print(Console console, EvacuationsView view) {
        if (!view.enabled()) {
            console.line("entry " + view.entry() + ": the deployment has no evacuations");
            return;
        }
        console.line(
                "entry "
                        + view.entry()
                        + (view.leads() ? ", leads" : ", does not lead")
                        + (view.fresh() ? "" : ", its view is too old to start tasks"));
        if (!view.leads()) {
            console.line(
                    "only the leader knows tasks: "
                            + (view.leader().isEmpty() ? "none is known" : view.leader()));
        }
        console.line(
                view.zones().isEmpty()
                        ? "no zone is evacuated"
                        : view.zones().size() + " evacuated zones");
        if (!view.zones().isEmpty()) {
            console.table(
                    List.of("zone", "evacuated", "workers", "running", "waiting steps"),
                    view.zones().stream().map(EvacuationCommand::row).toList());
        }
    }

    private static List<String> row(EvacuationsView.ZoneView zone) {
        return List.of(
                zone.zone(),
                zone.evacuatedMillis() + " ms",
                Long.toString(zone.workers()),
                Long.toString(zone.running()),
                Long.toString(zone.waitingSteps()));
    }
}
