package org.jujubefork.ctl.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jujubefork.client.api.ResourcesView;
import org.jujubefork.config.cell.CellSchema;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.KeyGrant;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.ctl.command.Console;

/** Prints the configuration of a site, merged from the base and its overlay. */
final class ConfigurationPrinter {
    /**
     * A team in the output.
     *
     * @param name the team's name
     * @param weight the fair share relative to the weights of other teams
     * @param limit the upper limit of the resources in use
     */
    record TeamRow(String name, double weight, ResourcesView limit) {}

    private record QueueRow(
            String name,
            String team,
            String kind,
            boolean open,
            ResourcesView size,
            boolean urgent,
            long timeoutMillis,
            int maxQueued) {}

    private record MergedConfiguration(
            long version,
            String cell,
            int expectedEntries,
            int shardsPerZone,
            int claimRetentionHours,
            List<TeamRow> teams,
            List<QueueRow> queues,
            List<KeyRow> keys,
            Map<String, KindPolicy> policies,
            Tuning tuning) {}

    /**
     * An access key in the output, without its hash.
     *
     * @param id the identifier for {@code key withdraw}
     * @param team the team that the key belongs to, empty for an operator's key
     */
    record KeyRow(String id, String team) {}

    private ConfigurationPrinter() {}

    static void print(Console console, Configuration configuration) {
        MergedConfiguration merged = merged(configuration);
        console.print(
                merged,
                () -> {
                    console.line("cell " + merged.cell() + ", version " + merged.version());
                    console.line("expectedEntries " + merged.expectedEntries());
                    console.line("shardsPerZone " + merged.shardsPerZone());
                    console.line("claimRetentionHours " + merged.claimRetentionHours());
                    console.line("");
                    printTeams(console, configuration);
                    console.line("");
                    printQueues(console, merged.queues());
                    console.line("");
                    printKeys(console, merged.keys());
                    console.line("");
                    merged.policies()
                            .forEach(
                                    (kind, policy) ->
                                            console.line(
                                                    kind
                                                            + " order "
                                                            + policy.order()
                                                            + ", placement "
                                                            + policy.placement()));
                    console.line(merged.tuning().toString());
                });
    }

    /** Prints the teams as a text table. */
    static void printTeams(Console console, Configuration configuration) {
        console.table(
                List.of("team", "weight", "limit"),
                teams(configuration).stream()
                        .map(
                                team ->
                                        List.of(
                                                team.name(),
                                                Double.toString(team.weight()),
                                                team.limit().toResources().toString()))
                        .toList());
    }

    /** Returns the teams, sorted by name. */
    static List<TeamRow> teams(Configuration configuration) {
        return configuration.teams().values().stream()
                .sorted(Comparator.comparing(Team::id))
                .map(
                        team ->
                                new TeamRow(
                                        team.id().value(),
                                        team.weight(),
                                        ResourcesView.of(team.limit())))
                .toList();
    }

    /** Returns the keys, sorted by id. */
    static List<KeyRow> keys(Configuration configuration) {
        return configuration.keys().values().stream()
                .sorted(Comparator.comparing(KeyGrant::id))
                .map(key -> new KeyRow(key.id(), key.team().map(t -> t.value()).orElse("")))
                .toList();
    }

    /** Prints the keys as a text table. */
    static void printKeys(Console console, List<KeyRow> keys) {
        console.table(
                List.of("key", "for"),
                keys.stream()
                        .map(
                                key ->
                                        List.of(
                                                key.id(),
                                                key.team().isEmpty()
                                                        ? "operator"
                                                        : "team " + key.team()))
                        .toList());
    }

    private static void printQueues(Console console, List<QueueRow> queues) {
        console.table(
                List.of("queue", "team", "kind", "size", "timeout", "maxQueued", "flags"),
                queues.stream()
                        .map(
                                queue ->
                                        List.of(
                                                queue.name(),
                                                queue.team(),
                                                queue.kind(),
                                                queue.size().toResources().toString(),
                                                queue.timeoutMillis() + " ms",
                                                Integer.toString(queue.maxQueued()),
                                                (queue.open() ? "open " : "")
                                                        + (queue.urgent() ? "urgent" : "")))
                        .toList());
    }

    private static MergedConfiguration merged(Configuration configuration) {
        Map<String, KindPolicy> policies = new TreeMap<>();
        configuration
                .policies()
                .forEach((kind, policy) -> policies.put(CellSchema.nameOf(kind), policy));
        return new MergedConfiguration(
                configuration.version(),
                configuration.cell(),
                configuration.expectedEntries(),
                configuration.shardsPerZone(),
                configuration.claimRetentionHours(),
                teams(configuration),
                configuration.queues().values().stream()
                        .sorted(Comparator.comparing(Queue::id))
                        .map(ConfigurationPrinter::toRow)
                        .toList(),
                keys(configuration),
                policies,
                configuration.tuning());
    }

    private static QueueRow toRow(Queue queue) {
        return new QueueRow(
                queue.id().value(),
                queue.team().value(),
                CellSchema.nameOf(queue.kind()),
                queue.open(),
                ResourcesView.of(queue.size()),
                queue.urgent(),
                queue.timeoutMillis(),
                queue.maxQueued());
    }
}
