package org.jujubefork.ctl.operator;

import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.DrainView;
import org.jujubefork.client.api.ExplainView;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.MissingShardsView;
import org.jujubefork.client.api.NotReachableException;
import org.jujubefork.client.api.ResourcesView;
import org.jujubefork.client.api.StatusView;
import org.jujubefork.client.api.TasksView;
import org.jujubefork.client.api.WorkersView;
import org.jujubefork.ctl.command.CommandException;
import org.jujubefork.ctl.command.CommandSpec;
import org.jujubefork.ctl.command.Console;
import org.jujubefork.ctl.command.ExitCode;
import org.jujubefork.ctl.command.Invocation;
import org.jujubefork.ctl.command.OptionSpecs;

/** The commands that show the state of the cell, and {@code drain}, which stops an entry. */
final class ViewCommands {
    private static final List<String> EXPLAIN_SUBJECTS =
            List.of("request", "job", "team", "worker");
    private static final List<String> TASK_FILTERS = List.of("team", "job", "worker", "queue");
    private static final String ENTRY = "entry";

    private ViewCommands() {}

    static List<CommandSpec> specs() {
        return List.of(
                CommandSpec.of(
                        "status",
                        List.of(),
                        "Shows entries, shards, queues and teams as one entry sees them.",
                        i -> i.fetchAndPrint(ApiClient::status, ViewCommands::printStatus)),
                CommandSpec.of(
                        "workers",
                        List.of(),
                        "Lists the workers of all shards.",
                        i -> i.fetchAndPrint(ApiClient::workers, ViewCommands::printWorkers)),
                CommandSpec.of(
                        "tasks",
                        List.of(),
                        "Lists the requests and tasks of all shards.",
                        i ->
                                i.fetchAndPrint(
                                        c -> c.tasks(taskFilters(i)), ViewCommands::printTasks),
                        OptionSpecs.value("team", "TEAM", "only work of this team"),
                        OptionSpecs.value("job", "ID", "only tasks of this job"),
                        OptionSpecs.value("worker", "ID", "only work on this worker"),
                        OptionSpecs.value("queue", "QUEUE", "only work of this queue")),
                CommandSpec.of(
                        "explain",
                        List.of("request|job|team|worker", "ID"),
                        "Explains why something is in the state it is in.",
                        ViewCommands::explain),
                CommandSpec.of(
                        "drain",
                        List.of(),
                        "Drains one entry before a planned stop.",
                        ViewCommands::drain,
                        OptionSpecs.value(ENTRY, "HOST:PORT", "the entry to stop")));
    }

    private static void printStatus(Console console, StatusView status) {
        console.line(
                "entry "
                        + status.entry()
                        + ", "
                        + status.role()
                        + ", configuration "
                        + status.configurationVersion()
                        + (status.configurationFresh() ? " (fresh)" : " (not fresh)"));
        console.line(
                "store "
                        + (status.store().reachable() ? "reachable" : "not reachable")
                        + (status.store().lastContactAgeMillis() < 0
                                ? ", no contact since the entry started"
                                : ", last contact "
                                        + status.store().lastContactAgeMillis()
                                        + " ms ago"));
        console.line("");
        console.table(
                List.of("entry", "region", "zone", "state", "configuration"),
                status.members().stream()
                        .map(
                                member ->
                                        List.of(
                                                member.entry(),
                                                member.region(),
                                                member.zone(),
                                                member.state(),
                                                Long.toString(member.configurationVersion())))
                        .toList());
        console.line("");
        console.table(
                List.of("shard", "owner", "epoch", "workers", "acquired", "queued", "running"),
                status.shards().stream()
                        .map(
                                shard ->
                                        List.of(
                                                shard.shard(),
                                                shard.owner(),
                                                shard.epoch(),
                                                Integer.toString(shard.workers()),
                                                Integer.toString(shard.acquired()),
                                                Integer.toString(shard.queued()),
                                                Integer.toString(shard.running())))
                        .toList());
        console.line("");
        printQueuesAndTeams(console, status);
    }

    private static void printQueuesAndTeams(Console console, StatusView status) {
        console.table(
                List.of("queue", "team", "kind", "queued", "oldest"),
                status.queues().stream()
                        .map(
                                queue ->
                                        List.of(
                                                queue.queue(),
                                                queue.team(),
                                                queue.kind(),
                                                Integer.toString(queue.queued()),
                                                queue.oldestWaitMillis() + " ms"))
                        .toList());
        console.line("");
        console.table(
                List.of("team", "usage", "share", "entitled", "limit", "waiting"),
                status.teams().stream()
                        .map(
                                team ->
                                        List.of(
                                                team.team(),
                                                formatResources(team.usage()),
                                                formatPercent(team.share()),
                                                formatPercent(team.entitledShare()),
                                                formatResources(team.limit()),
                                                Integer.toString(team.waiting())))
                        .toList());
    }

    private static void printWorkers(Console console, WorkersView view) {
        console.table(
                List.of(
                        "worker",
                        "zone",
                        "rack",
                        "shard",
                        "state",
                        "allocated",
                        "capacity",
                        "slots",
                        "running",
                        "lease age"),
                view.workers().stream()
                        .map(
                                worker ->
                                        List.of(
                                                worker.id(),
                                                worker.zone(),
                                                worker.rack(),
                                                worker.shard(),
                                                (worker.state() + " " + worker.reason()).strip(),
                                                formatResources(worker.allocated()),
                                                formatResources(worker.capacity()),
                                                worker.slotsUsed() + "/" + worker.slots(),
                                                Integer.toString(worker.running()),
                                                worker.leaseAgeMillis() + " ms"))
                        .toList());
        printMissingShards(console, view.missing());
    }

    private static Map<String, String> taskFilters(Invocation invocation) {
        Map<String, String> filters = new TreeMap<>();
        for (String filter : TASK_FILTERS) {
            invocation.option(filter).ifPresent(value -> filters.put(filter, value));
        }
        return filters;
    }

    private static void printTasks(Console console, TasksView view) {
        console.table(
                List.of("task", "job", "team", "queue", "kind", "state", "worker", "size", "age"),
                view.tasks().stream()
                        .map(
                                task ->
                                        List.of(
                                                task.id(),
                                                task.job().isEmpty()
                                                        ? ""
                                                        : task.job() + "/" + task.index(),
                                                task.team(),
                                                task.queue(),
                                                task.kind(),
                                                task.state(),
                                                task.worker(),
                                                formatResources(task.size()),
                                                task.ageMillis() + " ms"))
                        .toList());
        printMissingShards(console, view.missing());
    }

    private static void printMissingShards(Console console, List<MissingShardsView> missing) {
        for (MissingShardsView view : missing) {
            console.line(
                    "missing: shards "
                            + view.shards()
                            + (view.entry().isEmpty() ? "" : " of entry " + view.entry())
                            + ": "
                            + view.reason());
        }
    }

    private static ExitCode explain(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        String subject = invocation.arguments().getFirst();
        if (!EXPLAIN_SUBJECTS.contains(subject)) {
            throw CommandException.usage(
                    "explain supports " + EXPLAIN_SUBJECTS + ", not " + subject);
        }
        String id = invocation.arguments().getLast();
        return invocation.fetchAndPrint(
                c -> c.explain(subject, id), ViewCommands::printExplanation);
    }

    private static void printExplanation(Console console, ExplainView view) {
        String since =
                view.sinceMillis() > 0 ? " since " + Instant.ofEpochMilli(view.sinceMillis()) : "";
        console.line(view.subject() + " is " + view.state() + since);
        view.reasons().forEach(reason -> console.line("  because " + reason));
        view.rejected()
                .forEach(
                        rejected ->
                                console.line(
                                        "  rejected "
                                                + rejected.count()
                                                + " workers: "
                                                + rejected.reason()));
        if (!view.wouldRunWhen().isEmpty()) {
            console.line("  would run when " + view.wouldRunWhen());
        }
    }

    private static ExitCode drain(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        try (ApiClient client = invocation.connect(List.of(invocation.requiredOption(ENTRY)))) {
            DrainView view = client.drain();
            Console console = invocation.console();
            console.print(
                    view,
                    () ->
                            console.line(
                                    "entry "
                                            + view.entry()
                                            + " is "
                                            + view.state()
                                            + ", open requests "
                                            + view.openRequests()));
        }
        return ExitCode.OK;
    }

    private static String formatResources(ResourcesView resources) {
        return resources.toResources().toString();
    }

    private static String formatPercent(double fraction) {
        return String.format(Locale.ROOT, "%.1f%%", fraction * 100);
    }
}
