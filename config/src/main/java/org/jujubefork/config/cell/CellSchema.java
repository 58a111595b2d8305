package org.jujubefork.config.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.ValueType;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.WorkKind;

/**
 * Declares the settings of the base file and of overlays.
 *
 * @param base the top-level object of the base file
 * @param overlay the top-level object of an overlay
 */
public record CellSchema(ValueType.ObjectType base, ValueType.ObjectType overlay) {
    static final ValueType NAME =
            new ValueType.StringType(
                    "[A-Za-z0-9._-]{1,100}",
                    "a name of 1 to 100 letters, digits, \".\", \"_\", \"-\"");
    private static final ValueType SHA256_HASH =
            new ValueType.StringType(
                    "[0-9a-f]{64}", "a SHA-256 hash of 64 lower-case hexadecimal digits");
    private static final ValueType DURATION_MILLIS = new ValueType.IntegerType(0, 3_600_000);
    private static final String UNIT_MILLIS = "ms";
    private static final String UNIT_CPU_MILLIS = "1/1000 core";
    private static final String UNIT_MIB = "MiB";
    private static final double MAX_WEIGHT = 1_000_000;

    private static final Map<WorkKind, KindPolicy> DEFAULT_POLICIES =
            Map.of(
                    WorkKind.LOOKUP, new KindPolicy("weighted-fair", "least-loaded"),
                    WorkKind.COMMAND, new KindPolicy("weighted-fair", "least-loaded"),
                    WorkKind.BATCH, new KindPolicy("weighted-fair", "best-fit"),
                    WorkKind.SERVICE, new KindPolicy("weighted-fair", "spread"),
                    WorkKind.GANG, new KindPolicy("weighted-fair", "best-fit"));

    /** Returns the declarations, which allow only the policies in {@code names}. */
    public static CellSchema of(PolicyNames names) {
        Field policies =
                Field.optional(
                        "policies",
                        policiesType(names),
                        "How work of each kind is ordered and placed. An overlay replaces single"
                                + " policies of its site.");
        Field tuning =
                Field.optional(
                        "tuning",
                        tuningType(),
                        "Figures of the scheduler. An overlay replaces single figures of its"
                                + " site.");
        return new CellSchema(
                new ValueType.ObjectType(
                        Stream.concat(fleetWideFields().stream(), Stream.of(policies, tuning))
                                .toList()),
                ValueType.ObjectType.of(
                        Field.required("site", NAME, "", "The site that the overlay belongs to."),
                        policies,
                        tuning));
    }

    /** Returns the name of {@code kind} in configuration files, which is in lower case. */
    public static String nameOf(WorkKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    private static List<Field> fleetWideFields() {
        return List.of(
                Field.required("cell", cellType(), "", "Facts about the cell as a whole."),
                Field.required(
                        "sites",
                        new ValueType.ListType(NAME),
                        "",
                        "The sites of the cell, which are its regions. Each may have an overlay."),
                Field.required(
                        "teams",
                        new ValueType.ListType(teamType()),
                        "",
                        "The teams with their shares and upper limits."),
                Field.optional("keys", new ValueType.ListType(keyType()), "Access keys of teams."),
                Field.optional(
                        "operators", new ValueType.ListType(operatorType()), "Keys of operators."),
                Field.required(
                        "queues",
                        new ValueType.ListType(queueType()),
                        "",
                        "The queues through which work enters."));
    }

    private static ValueType.ObjectType cellType() {
        return ValueType.ObjectType.of(
                Field.required("name", NAME, "", "Name of the cell."),
                Field.required(
                        "expectedEntries",
                        new ValueType.IntegerType(1, 1_000),
                        "entries",
                        "How many entries the cell has. Majorities are counted against it."),
                Field.withDefault(
                        "shardsPerZone",
                        new ValueType.IntegerType(1, 64),
                        1L,
                        "shards",
                        "Into how many shards the workers of a zone are divided."),
                Field.withDefault(
                        "claimRetentionHours",
                        new ValueType.IntegerType(1, 8_760),
                        720L,
                        "h",
                        "Least time for which the claim of a non-idempotent request is kept."
                                + " This version removes no claims, so a returning key always"
                                + " gets the recorded answer."));
    }

    private static ValueType.ObjectType teamType() {
        return ValueType.ObjectType.of(
                Field.required("name", NAME, "", "Name of the team."),
                Field.required(
                        "weight",
                        new ValueType.NumberType(0, MAX_WEIGHT),
                        "",
                        "The team's share relative to the weights of the other teams."),
                Field.required(
                        "limit",
                        resourcesType(0, 1_000_000_000L, 10_000_000_000L, 1_000_000L),
                        "",
                        "What the team may have running across the whole fleet."));
    }

    private static ValueType.ObjectType keyType() {
        return ValueType.ObjectType.of(
                Field.required("id", NAME, "", "Name by which the key is withdrawn."),
                Field.required("team", NAME, "", "The team that the key speaks for."),
                Field.required("sha256", SHA256_HASH, "", "SHA-256 hash of the key."));
    }

    private static ValueType.ObjectType operatorType() {
        return ValueType.ObjectType.of(
                Field.required("id", NAME, "", "Name by which the key is withdrawn."),
                Field.required("sha256", SHA256_HASH, "", "SHA-256 hash of the key."));
    }

    private static ValueType.ObjectType queueType() {
        return ValueType.ObjectType.of(
                Field.required("name", NAME, "", "Name of the queue."),
                Field.required("team", NAME, "", "The team that is charged."),
                Field.required(
                        "kind",
                        new ValueType.EnumType(
                                Stream.of(WorkKind.values()).map(CellSchema::nameOf).toList()),
                        "",
                        "The kind of work: idempotent requests (lookup), non-idempotent requests"
                                + " (command), jobs of independent tasks (batch), replicas that"
                                + " run until cancelled (service), jobs that need all tasks at"
                                + " once (gang)."),
                Field.withDefault(
                        "open",
                        new ValueType.BooleanType(),
                        false,
                        "",
                        "Whether callers need no key."),
                Field.required(
                        "size",
                        resourcesType(1, 1_024_000L, 16_777_216L, 64L),
                        "",
                        "Size of one request, or default size of one task of a job."),
                Field.withDefault(
                        "urgent",
                        new ValueType.BooleanType(),
                        false,
                        "",
                        "Whether requests may use the reserved part of each worker and go ahead of"
                                + " other work."),
                Field.withDefault(
                        "timeoutMillis",
                        new ValueType.IntegerType(1, 86_400_000L),
                        10_000L,
                        UNIT_MILLIS,
                        "How long a request may take from its arrival to its answer."),
                Field.withDefault(
                        "maxQueued",
                        new ValueType.IntegerType(1, 1_000_000L),
                        10_000L,
                        "requests or tasks",
                        "How many requests or tasks may wait in one shard."));
    }

    private static ValueType.ObjectType resourcesType(
            long min, long maxCpuMillis, long maxMemoryMb, long maxAccelerators) {
        return ValueType.ObjectType.of(
                Field.required(
                        "cpuMillis",
                        new ValueType.IntegerType(min, maxCpuMillis),
                        UNIT_CPU_MILLIS,
                        "Processor time."),
                Field.required(
                        "memoryMb",
                        new ValueType.IntegerType(min, maxMemoryMb),
                        UNIT_MIB,
                        "Memory."),
                Field.withDefault(
                        "accelerators",
                        new ValueType.IntegerType(0, maxAccelerators),
                        0L,
                        "accelerators",
                        "Whole accelerators."));
    }

    private static ValueType.ObjectType policiesType(PolicyNames names) {
        List<Field> kinds = new ArrayList<>();
        for (WorkKind kind : WorkKind.values()) {
            KindPolicy policy = DEFAULT_POLICIES.get(kind);
            ValueType.ObjectType fields =
                    ValueType.ObjectType.of(
                            Field.withDefault(
                                    "order",
                                    new ValueType.EnumType(names.queueOrders()),
                                    policy.order(),
                                    "",
                                    "Which waiting work goes first."),
                            Field.withDefault(
                                    "placement",
                                    new ValueType.EnumType(names.placements()),
                                    policy.placement(),
                                    "",
                                    "Which worker is chosen."));
            kinds.add(
                    Field.optional(nameOf(kind), fields, "Work of the kind " + nameOf(kind) + "."));
        }
        return new ValueType.ObjectType(kinds);
    }

    private static ValueType.ObjectType tuningType() {
        Tuning defaults = Tuning.DEFAULT;
        return ValueType.ObjectType.of(
                durationField(
                        "reclaimAfterMillis",
                        defaults.reclaimAfterMillis(),
                        "How long a team below its share waits before batch work of the team"
                                + " farthest above its share is checkpointed for it."),
                durationField(
                        "gangReserveAfterMillis",
                        defaults.gangReserveAfterMillis(),
                        "How long a gang job waits before it reserves workers."),
                Field.optional(
                        "requestReserve",
                        requestReserveType(),
                        "The part of each worker that only urgent requests may use."),
                countField(
                        "reservedSlots",
                        new ValueType.IntegerType(0, 64),
                        defaults.reservedSlots(),
                        "slots",
                        "Request slots of each worker that only urgent requests may use."),
                countField(
                        "maxQueuedTotal",
                        new ValueType.IntegerType(1, 10_000_000L),
                        defaults.maxQueuedTotal(),
                        "requests or tasks",
                        "How many requests and tasks may wait in one shard."),
                countField(
                        "maxAttempts",
                        new ValueType.IntegerType(1, 100),
                        defaults.maxAttempts(),
                        "starts",
                        "How often a task of a job is started at most."),
                countField(
                        "quarantineFailures",
                        new ValueType.IntegerType(1, 1_000),
                        defaults.quarantineFailures(),
                        "failures",
                        "Failures of different tasks within quarantineWindowMillis that"
                                + " quarantine a worker."),
                durationField(
                        "quarantineWindowMillis",
                        defaults.quarantineWindowMillis(),
                        "The window for quarantineFailures."),
                durationField(
                        "crossZoneCostMillis",
                        defaults.crossZoneCostMillis(),
                        "Price of routing a request to another zone of the region, as waiting"
                                + " time."),
                durationField(
                        "crossRegionCostMillis",
                        defaults.crossRegionCostMillis(),
                        "Price of routing a request to another region, as waiting time."));
    }

    private static ValueType.ObjectType requestReserveType() {
        var reserve = Tuning.DEFAULT.requestReserve();
        return ValueType.ObjectType.of(
                countField(
                        "cpuMillis",
                        new ValueType.IntegerType(0, 1_024_000L),
                        reserve.cpuMillis(),
                        UNIT_CPU_MILLIS,
                        "Processor time."),
                countField(
                        "memoryMb",
                        new ValueType.IntegerType(0, 16_777_216L),
                        reserve.memoryMb(),
                        UNIT_MIB,
                        "Memory."),
                countField(
                        "accelerators",
                        new ValueType.IntegerType(0, 64),
                        reserve.accelerators(),
                        "accelerators",
                        "Whole accelerators."));
    }

    private static Field countField(
            String name, ValueType bounds, long defaultValue, String unit, String description) {
        return Field.withDefault(name, bounds, defaultValue, unit, description);
    }

    private static Field durationField(String name, long defaultMillis, String description) {
        return Field.withDefault(name, DURATION_MILLIS, defaultMillis, UNIT_MILLIS, description);
    }
}
