package org.jujubefork.standins.cell;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkKind;

/**
 * Builder of plans for small test cells. Zone "zN" is in region "rN" and has one shard; the entries
 * are spread evenly over the zones. Each team T has the queues T-lookup, T-urgent, T-command,
 * T-batch, T-service and T-gang.
 */
public final class SmallCell {
    /** Access key of the operator in all small cells. */
    public static final String OPERATOR_KEY = "jj_test-operator";

    private static final Resources WORKER_CAPACITY = Resources.of(8_000, 32_768, 0);
    private static final Resources UNLIMITED = Resources.of(1_000_000, 10_000_000, 1_000);
    private static final int CLAIM_RETENTION_HOURS = 720;

    private final ObjectMapper mapper = new ObjectMapper();
    private final int entryCount;
    private final Map<String, Resources> teamLimits = new LinkedHashMap<>();
    private final Map<String, Double> teamWeights = new LinkedHashMap<>();
    private final Map<String, Long> entrySettings = new LinkedHashMap<>();
    private final Map<String, Long> tuning = new LinkedHashMap<>();
    private final List<String> fleetFlags = new ArrayList<>();
    private int zones = 2;
    private int workersPerZone = 2;
    private int slotsPerWorker = 8;
    private boolean workerRelays;
    private Resources reserve = Resources.ZERO;
    private int reservedSlots;
    private Optional<KindPolicy> policy = Optional.empty();
    private Resources taskSize = Resources.of(1_000, 1_024, 0);

    private SmallCell(int entryCount) {
        this.entryCount = entryCount;
    }

    /**
     * Returns a builder for a cell with the given number of entries and, unless changed, two zones
     * of two workers each.
     */
    public static SmallCell of(int entryCount) {
        return new SmallCell(entryCount);
    }

    /** Returns the access key of a team. */
    public static String key(String team) {
        return "jj_test-key-of-" + team;
    }

    /** Sets the number of zones, of workers in each zone, and of request slots on each worker. */
    public SmallCell workers(int zoneCount, int perZone, int requestSlots) {
        zones = zoneCount;
        workersPerZone = perZone;
        slotsPerWorker = requestSlots;
        return this;
    }

    /** Adds a team whose limit exceeds the capacity of any test cell. */
    public SmallCell team(String name) {
        return team(name, UNLIMITED);
    }

    /** Adds a team with a resource limit. */
    public SmallCell team(String name, Resources limit) {
        teamLimits.put(name, limit);
        return this;
    }

    /** Sets the fair-share weight of a team; the default is 1. */
    public SmallCell weight(String team, double weight) {
        teamWeights.put(team, weight);
        return this;
    }

    /** Replaces the default policies for the order and the placement of work of all kinds. */
    public SmallCell policy(KindPolicy forAllKinds) {
        policy = Optional.of(forAllKinds);
        return this;
    }

    /** Sets a number in the section {@code tuning} of the configuration. */
    public SmallCell tuning(String name, long value) {
        tuning.put(name, value);
        return this;
    }

    /** Sets the resources that each request or task of all queues requires. */
    public SmallCell taskSize(Resources size) {
        taskSize = size;
        return this;
    }

    /** Sets the resources and request slots that each worker reserves for urgent requests. */
    public SmallCell reserve(Resources resources, int requestSlots) {
        reserve = resources;
        reservedSlots = requestSlots;
        return this;
    }

    /** Sets a number in the settings of every entry. */
    public SmallCell setting(String name, long value) {
        entrySettings.put(name, value);
        return this;
    }

    /** Adds a flag for the process that simulates the workers. */
    public SmallCell fleetFlag(String flag) {
        fleetFlags.add(flag);
        return this;
    }

    /** Makes entries connect to workers through relays that tests can interrupt. */
    public SmallCell withWorkerRelays() {
        workerRelays = true;
        return this;
    }

    /** Returns the plan; without any team, it has the team "red". */
    public CellPlan plan() {
        if (teamLimits.isEmpty()) {
            team("red");
        }
        List<CellPlan.Entry> entryPlans = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            entryPlans.add(new CellPlan.Entry("e" + (i + 1), region(i), zone(i)));
        }
        List<CellPlan.Worker> workers = new ArrayList<>();
        for (int z = 0; z < zones; z++) {
            for (int w = 0; w < workersPerZone; w++) {
                workers.add(
                        new CellPlan.Worker(
                                zone(z) + "-w" + (w + 1),
                                region(z),
                                zone(z),
                                zone(z) + "-r" + (w / 8 + 1),
                                WORKER_CAPACITY,
                                slotsPerWorker));
            }
        }
        Map<String, String> keys = new LinkedHashMap<>();
        teamLimits.keySet().forEach(t -> keys.put(t, key(t)));
        return new CellPlan(
                entryPlans,
                workers,
                configuration().toPrettyString(),
                Map.of(),
                OPERATOR_KEY,
                keys,
                workerRelays,
                fleetFlags,
                entrySettings);
    }

    private String region(int index) {
        return "r" + (index % zones + 1);
    }

    private String zone(int index) {
        return "z" + (index % zones + 1);
    }

    private ObjectNode configuration() {
        ObjectNode root = mapper.createObjectNode();
        root.putObject("cell")
                .put("name", "test")
                .put("expectedEntries", entryCount)
                .put("shardsPerZone", 1)
                .put("claimRetentionHours", CLAIM_RETENTION_HOURS);
        ArrayNode sites = root.putArray("sites");
        for (int z = 0; z < zones; z++) {
            sites.add(region(z));
        }
        ArrayNode teamNodes = root.putArray("teams");
        ArrayNode keyNodes = root.putArray("keys");
        ArrayNode queues = root.putArray("queues");
        teamLimits.forEach(
                (team, limit) -> {
                    ObjectNode node =
                            teamNodes
                                    .addObject()
                                    .put("name", team)
                                    .put("weight", teamWeights.getOrDefault(team, 1.0));
                    putResources(node.putObject("limit"), limit);
                    keyNodes.addObject()
                            .put("id", team + "-key")
                            .put("team", team)
                            .put("sha256", AccessKeys.hash(key(team)));
                    addQueue(queues, team, "lookup", "lookup");
                    addQueue(queues, team, "urgent", "lookup").put("urgent", true);
                    addQueue(queues, team, "command", "command");
                    addQueue(queues, team, "batch", "batch");
                    addQueue(queues, team, "service", "service");
                    addQueue(queues, team, "gang", "gang");
                });
        root.putArray("operators")
                .addObject()
                .put("id", "operator")
                .put("sha256", AccessKeys.hash(OPERATOR_KEY));
        addScheduling(root);
        return root;
    }

    private void addScheduling(ObjectNode root) {
        ObjectNode tuningNode = root.putObject("tuning").put("reservedSlots", reservedSlots);
        tuning.forEach(tuningNode::put);
        tuningNode
                .putObject("requestReserve")
                .put("cpuMillis", reserve.cpuMillis())
                .put("memoryMb", reserve.memoryMb());
        policy.ifPresent(
                p -> {
                    ObjectNode policies = root.putObject("policies");
                    for (WorkKind kind : WorkKind.values()) {
                        policies.putObject(kind.name().toLowerCase(Locale.ROOT))
                                .put("order", p.order())
                                .put("placement", p.placement());
                    }
                });
    }

    private ObjectNode addQueue(ArrayNode queues, String team, String name, String kind) {
        ObjectNode queue =
                queues.addObject()
                        .put("name", team + "-" + name)
                        .put("team", team)
                        .put("kind", kind);
        putResources(queue.putObject("size"), taskSize);
        return queue;
    }

    private static void putResources(ObjectNode node, Resources resources) {
        node.put("cpuMillis", resources.cpuMillis())
                .put("memoryMb", resources.memoryMb())
                .put("accelerators", resources.accelerators());
    }
}
