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
 * Builds small cells. Entry N and shard N are in zone "zN" of region "rN". Each team T has the
 * queues T-lookup, T-urgent, T-command, T-batch, T-service and T-gang.
 */
public final class SmallCell {
    /** Key of the operator of all small cells. */
    public static final String OPERATOR_KEY = "jj_test-operator";

    private static final Resources WORKER_CAPACITY = Resources.of(8_000, 32_768, 0);
    private static final Resources UNLIMITED = Resources.of(1_000_000, 10_000_000, 1_000);
    private static final int CLAIM_RETENTION_HOURS = 720;

    private final ObjectMapper mapper = new ObjectMapper();
    private final int entries;
    private final Map<String, Resources> teams = new LinkedHashMap<>();
    private final Map<String, Double> weights = new LinkedHashMap<>();
    private final Map<String, Long> settings = new LinkedHashMap<>();
    private final Map<String, Long> tuning = new LinkedHashMap<>();
    private final List<String> fleetFlags = new ArrayList<>();
    private int zones = 2;
    private int workersPerZone = 2;
    private int slots = 8;
    private boolean workerRelays;
    private Resources reserve = Resources.ZERO;
    private int reservedSlots;
    private Optional<KindPolicy> policy = Optional.empty();
    private Resources taskSize = Resources.of(1_000, 1_024, 0);

    private SmallCell(int entries) {
        this.entries = entries;
    }

    /** Starts a plan with two zones of two workers each. */
    public static SmallCell of(int entries) {
        return new SmallCell(entries);
    }

    /** Returns the key of a team. */
    public static String key(String team) {
        return "jj_test-key-of-" + team;
    }

    /** Sets how many zones have workers, and how many workers each has. */
    public SmallCell workers(int zoneCount, int perZone, int requestSlots) {
        zones = zoneCount;
        workersPerZone = perZone;
        slots = requestSlots;
        return this;
    }

    public SmallCell team(String name) {
        return team(name, UNLIMITED);
    }

    public SmallCell team(String name, Resources limit) {
        teams.put(name, limit);
        return this;
    }

    /** Sets the weight of a team; without it, the weight is 1. */
    public SmallCell weight(String team, double weight) {
        weights.put(team, weight);
        return this;
    }

    /** Sets how work of every kind is ordered and placed, in place of the defaults. */
    public SmallCell policy(KindPolicy forAllKinds) {
        policy = Optional.of(forAllKinds);
        return this;
    }

    /** Sets a number in the part {@code tuning} of the configuration. */
    public SmallCell tuning(String name, long value) {
        tuning.put(name, value);
        return this;
    }

    /** Sets the size of requests and tasks of all queues. */
    public SmallCell taskSize(Resources size) {
        taskSize = size;
        return this;
    }

    /** Sets what each worker keeps for urgent requests. */
    public SmallCell reserve(Resources resources, int requestSlots) {
        reserve = resources;
        reservedSlots = requestSlots;
        return this;
    }

    public SmallCell setting(String name, long value) {
        settings.put(name, value);
        return this;
    }

    public SmallCell fleetFlag(String flag) {
        fleetFlags.add(flag);
        return this;
    }

    public SmallCell withWorkerRelays() {
        workerRelays = true;
        return this;
    }

    public CellPlan plan() {
        if (teams.isEmpty()) {
            team("red");
        }
        List<CellPlan.Entry> entryPlans = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
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
                                slots));
            }
        }
        Map<String, String> keys = new LinkedHashMap<>();
        teams.keySet().forEach(t -> keys.put(t, key(t)));
        return new CellPlan(
                entryPlans,
                workers,
                configuration().toPrettyString(),
                Map.of(),
                OPERATOR_KEY,
                keys,
                workerRelays,
                fleetFlags,
                settings);
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
                .put("expectedEntries", entries)
                .put("shardsPerZone", 1)
                .put("claimRetentionHours", CLAIM_RETENTION_HOURS);
        ArrayNode sites = root.putArray("sites");
        for (int z = 0; z < zones; z++) {
            sites.add(region(z));
        }
        ArrayNode teamNodes = root.putArray("teams");
        ArrayNode keyNodes = root.putArray("keys");
        ArrayNode queues = root.putArray("queues");
        teams.forEach(
                (team, limit) -> {
                    ObjectNode node =
                            teamNodes
                                    .addObject()
                                    .put("name", team)
                                    .put("weight", weights.getOrDefault(team, 1.0));
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
