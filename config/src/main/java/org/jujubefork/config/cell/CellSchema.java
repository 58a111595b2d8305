package org.jujubefork.config.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.Shape;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.WorkKind;

/**
 * Declares the settings of base file and overlays.
 *
 * @param base the top level of the base file
 * @param overlay the top level of an overlay
 */
public record CellSchema(Shape.Structure base, Shape.Structure overlay) {
    static final Shape NAME =
            new Shape.Text(
                    "[A-Za-z0-9._-]{1,100}",
                    "a name of 1 to 100 letters, digits, \".\", \"_\", \"-\"");
    private static final Shape HASH =
            new Shape.Text("[0-9a-f]{64}", "a SHA-256 hash of 64 lower-case hexadecimal digits");
    private static final Shape TIME = new Shape.Whole(0, 3_600_000);
    private static final String MS = "ms";
    private static final String CPU = "1/1000 core";
    private static final String MIB = "MiB";
    private static final double MAX_WEIGHT = 1_000_000;

    private static final Map<WorkKind, KindPolicy> DEFAULT_POLICIES =
            Map.of(
                    WorkKind.LOOKUP, new KindPolicy("weighted-fair", "least-loaded"),
                    WorkKind.COMMAND, new KindPolicy("weighted-fair", "least-loaded"),
                    WorkKind.BATCH, new KindPolicy("weighted-fair", "best-fit"),
                    WorkKind.SERVICE, new KindPolicy("weighted-fair", "spread"),
                    WorkKind.GANG, new KindPolicy("weighted-fair", "best-fit"));

    /** Returns the declarations with {@code names} as the known policies. */
    public static CellSchema of(PolicyNames names) {
        Field policies =
                Field.optional(
                        "policies",
                        policies(names),
                        "How work of each kind is ordered and placed. An overlay replaces single"
                                + " policies of its site.");
        Field tuning =
                Field.optional(
                        "tuning",
                        tuning(),
                        "Figures of the scheduler. An overlay replaces single figures of its"
                                + " site.");
        return new CellSchema(
                new Shape.Structure(
                        Stream.concat(fleetWide().stream(), Stream.of(policies, tuning)).toList()),
                Shape.Structure.of(
                        Field.required("site", NAME, "", "The site that the overlay belongs to."),
                        policies,
                        tuning));
    }

    /** Returns the name of {@code kind} in configuration files. */
    public static String nameOf(WorkKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    private static List<Field> fleetWide() {
        return List.of(
                Field.required("cell", cell(), "", "Facts about the cell as a whole."),
                Field.required(
                        "sites",
                        new Shape.ListOf(NAME),
                        "",
                        "The sites of the cell, which are its regions. Each may have an overlay."),
                Field.required(
                        "teams",
                        new Shape.ListOf(team()),
                        "",
                        "The teams with their shares and upper limits."),
                Field.optional("keys", new Shape.ListOf(key()), "Access keys of teams."),
                Field.optional("operators", new Shape.ListOf(operator()), "Keys of operators."),
                Field.required(
                        "queues",
                        new Shape.ListOf(queue()),
                        "",
                        "The queues through which work enters."));
    }

    private static Shape.Structure cell() {
        return Shape.Structure.of(
                Field.required("name", NAME, "", "Name of the cell."),
                Field.required(
                        "expectedEntries",
                        new Shape.Whole(1, 1_000),
                        "entries",
                        "How many entries the cell has. Majorities are counted against it."),
                Field.withDefault(
                        "shardsPerZone",
                        new Shape.Whole(1, 64),
                        1L,
                        "shards",
                        "Into how many shards the workers of a zone are divided."),
                Field.withDefault(
                        "claimRetentionHours",
                        new Shape.Whole(1, 8_760),
                        720L,
                        "h",
                        "Least time for which the claim of a non-idempotent request is kept."
                                + " This version removes no claims, so a returning key always"
                                + " gets the recorded answer."));
    }

    private static Shape.Structure team() {
        return Shape.Structure.of(
                Field.required("name", NAME, "", "Name of the team."),
                Field.required(
                        "weight",
                        new Shape.Decimal(0, MAX_WEIGHT),
                        "",
                        "The team's share relative to the weights of the other teams."),
                Field.required(
                        "limit",
                        resources(0, 1_000_000_000L, 10_000_000_000L, 1_000_000L),
                        "",
                        "What the team may have running across the whole fleet."));
    }

    private static Shape.Structure key() {
        return Shape.Structure.of(
                Field.required("id", NAME, "", "Name by which the key is withdrawn."),
                Field.required("team", NAME, "", "The team that the key speaks for."),
                Field.required("sha256", HASH, "", "SHA-256 hash of the key."));
    }

    private static Shape.Structure operator() {
        return Shape.Structure.of(
                Field.required("id", NAME, "", "Name by which the key is withdrawn."),
                Field.required("sha256", HASH, "", "SHA-256 hash of the key."));
    }

    private static Shape.Structure queue() {
        return Shape.Structure.of(
                Field.required("name", NAME, "", "Name of the queue."),
                Field.required("team", NAME, "", "The team that is charged."),
                Field.required(
                        "kind",
                        new Shape.Choice(
                                Stream.of(WorkKind.values()).map(CellSchema::nameOf).toList()),
                        "",
                        "The kind of work: idempotent requests (lookup), non-idempotent requests"
                                + " (command), jobs of independent tasks (batch), replicas that"
                                + " run until cancelled (service), jobs that need all tasks at"
                                + " once (gang)."),
                Field.withDefault(
                        "open", new Shape.Flag(), false, "", "Whether callers need no key."),
                Field.required(
                        "size",
                        resources(1, 1_024_000L, 16_777_216L, 64L),
                        "",
                        "Size of one request, or default size of one task of a job."),
                Field.withDefault(
                        "urgent",
                        new Shape.Flag(),
                        false,
                        "",
                        "Whether requests may use the reserved part of each worker and go ahead of"
                                + " other work."),
                Field.withDefault(
                        "timeoutMillis",
                        new Shape.Whole(1, 86_400_000L),
                        10_000L,
                        MS,
                        "How long a request may take from its arrival to its answer."),
                Field.withDefault(
                        "maxQueued",
                        new Shape.Whole(1, 1_000_000L),
                        10_000L,
                        "requests or tasks",
                        "How many requests or tasks may wait in one shard."));
    }

    private static Shape.Structure resources(
            long min, long maxCpu, long maxMemory, long maxAccelerators) {
        return Shape.Structure.of(
                Field.required("cpuMillis", new Shape.Whole(min, maxCpu), CPU, "Processor time."),
                Field.required("memoryMb", new Shape.Whole(min, maxMemory), MIB, "Memory."),
                Field.withDefault(
                        "accelerators",
                        new Shape.Whole(0, maxAccelerators),
                        0L,
                        "accelerators",
                        "Whole accelerators."));
    }

    private static Shape.Structure policies(PolicyNames names) {
        List<Field> kinds = new ArrayList<>();
        for (WorkKind kind : WorkKind.values()) {
            KindPolicy policy = DEFAULT_POLICIES.get(kind);
            Shape.Structure fields =
                    Shape.Structure.of(
                            Field.withDefault(
                                    "order",
                                    new Shape.Choice(names.orders()),
                                    policy.order(),
                                    "",
                                    "Which waiting work goes first."),
                            Field.withDefault(
                                    "placement",
                                    new Shape.Choice(names.placements()),
                                    policy.placement(),
                                    "",
                                    "Which worker is chosen."));
            kinds.add(
                    Field.optional(nameOf(kind), fields, "Work of the kind " + nameOf(kind) + "."));
        }
        return new Shape.Structure(kinds);
    }

    private static Shape.Structure tuning() {
        Tuning defaults = Tuning.DEFAULT;
        return Shape.Structure.of(
                time(
                        "reclaimAfterMillis",
                        defaults.reclaimAfterMillis(),
                        "How long a team below its share waits before batch work of the team"
                                + " farthest above its share is checkpointed for it."),
                time(
                        "gangReserveAfterMillis",
                        defaults.gangReserveAfterMillis(),
                        "How long a gang job waits before it reserves workers."),
                Field.optional(
                        "requestReserve",
                        requestReserve(),
                        "The part of each worker that only urgent requests may use."),
                count(
                        "reservedSlots",
                        new Shape.Whole(0, 64),
                        defaults.reservedSlots(),
                        "slots",
                        "Request slots of each worker that only urgent requests may use."),
                count(
                        "maxQueuedTotal",
                        new Shape.Whole(1, 10_000_000L),
                        defaults.maxQueuedTotal(),
                        "requests or tasks",
                        "How many requests and tasks may wait in one shard."),
                count(
                        "maxAttempts",
                        new Shape.Whole(1, 100),
                        defaults.maxAttempts(),
                        "starts",
                        "How often a task of a job is started at most."),
                count(
                        "quarantineFailures",
                        new Shape.Whole(1, 1_000),
                        defaults.quarantineFailures(),
                        "failures",
                        "Failures of different tasks within quarantineWindowMillis that"
                                + " quarantine a worker."),
                time(
                        "quarantineWindowMillis",
                        defaults.quarantineWindowMillis(),
                        "The window for quarantineFailures."),
                time(
                        "crossZoneCostMillis",
                        defaults.crossZoneCostMillis(),
                        "Price of routing a request to another zone of the region, as waiting"
                                + " time."),
                time(
                        "crossRegionCostMillis",
                        defaults.crossRegionCostMillis(),
                        "Price of routing a request to another region, as waiting time."));
    }

    private static Shape.Structure requestReserve() {
        var reserve = Tuning.DEFAULT.requestReserve();
        return Shape.Structure.of(
                count(
                        "cpuMillis",
                        new Shape.Whole(0, 1_024_000L),
                        reserve.cpuMillis(),
                        CPU,
                        "Processor time."),
                count(
                        "memoryMb",
                        new Shape.Whole(0, 16_777_216L),
                        reserve.memoryMb(),
                        MIB,
                        "Memory."),
                count(
                        "accelerators",
                        new Shape.Whole(0, 64),
                        reserve.accelerators(),
                        "accelerators",
                        "Whole accelerators."));
    }

    private static Field count(
            String name, Shape bounds, long defaultValue, String unit, String effect) {
        return Field.withDefault(name, bounds, defaultValue, unit, effect);
    }

    private static Field time(String name, long defaultMillis, String effect) {
        return Field.withDefault(name, TIME, defaultMillis, MS, effect);
    }
}
