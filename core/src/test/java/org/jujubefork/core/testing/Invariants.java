package org.jujubefork.core.testing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.WorkerPhase;

/** Promises that are checked after each step of a {@link Cluster}. */
public final class Invariants {
    /** Time after an accepted change in which an entry may still rely on an older version. */
    private static final long FRESHNESS_MILLIS = 4_000;

    private final Cluster cluster;
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, Epoch> epochs = new HashMap<>();
    private final TreeMap<Long, Long> acceptedAt = new TreeMap<>();
    private int epochChanges;

    public Invariants(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Returns how often a worker changed from one epoch to another. */
    public int epochChanges() {
        return epochChanges;
    }

    /** Returns what {@code team} runs on all workers. */
    public static Resources running(Cluster cluster, TeamId team) {
        return cluster.workers().values().stream()
                .flatMap(w -> w.tasks().stream())
                .filter(t -> t.team().equals(team))
                .map(t -> t.size())
                .reduce(Resources.ZERO, Resources::plus);
    }

    /** Checks everything but the limits, which {@link #checkLimits()} does. */
    public void check() {
        checkVersions();
        checkEpochs();
        checkFreshness();
    }

    /** Checks that no team is above its limit in the configuration that the store holds. */
    public void checkLimits() {
        for (var team : cluster.store().configuration().teams().values()) {
            Resources running = running(cluster, team.id());
            if (!running.fitsIn(team.limit())) {
                throw new AssertionError(
                        at() + team.id() + " runs " + running + " of at most " + team.limit());
            }
        }
    }

    private void checkVersions() {
        for (Node node : cluster.nodes()) {
            String run = node.state().self().id().toString();
            long version = node.state().configuration().map(Configuration::version).orElse(0L);
            Long before = versions.put(run, version);
            if (before != null && before > version) {
                throw new AssertionError(
                        at() + run + " went from version " + before + " to " + version);
            }
        }
    }

    private void checkEpochs() {
        for (var entry : cluster.workers().entrySet()) {
            Optional<Epoch> epoch = entry.getValue().epoch();
            if (epoch.isEmpty()) {
                epochs.remove(entry.getKey());
                continue;
            }
            Epoch before = epochs.put(entry.getKey(), epoch.get());
            if (before != null && before.isAbove(epoch.get())) {
                throw new AssertionError(at() + entry.getKey() + " obeys a lower epoch");
            }
            if (before != null && !before.equals(epoch.get())) {
                epochChanges++;
            }
        }
    }

    private void checkFreshness() {
        Configuration stored = cluster.store().configuration();
        long reporting =
                cluster.nodes().stream().filter(n -> versionOf(n) >= stored.version()).count();
        if (reporting >= stored.majority()) {
            acceptedAt.putIfAbsent(stored.version(), cluster.nowMillis());
        }
        for (Node node : cluster.nodes()) {
            Long accepted = acceptedAt.get(stored.version());
            boolean late = accepted != null && cluster.nowMillis() - accepted > FRESHNESS_MILLIS;
            if (late
                    && node.isRunning(cluster.nowMillis())
                    && versionOf(node) < stored.version()
                    && ConfigurationFreshness.isFresh(node.state())) {
                throw new AssertionError(
                        at() + node.name() + " relies on version " + versionOf(node));
            }
        }
    }

    private static long versionOf(Node node) {
        return node.state().configuration().map(Configuration::version).orElse(0L);
    }

    /** Returns why some shard does not have exactly one owner that holds all its workers. */
    public Optional<String> unsettled() {
        Map<ShardId, Integer> owners = new TreeMap<>();
        for (var worker : cluster.workers().values()) {
            owners.put(ShardId.of(worker.listing().location().zone()), 0);
        }
        for (Node node : cluster.nodes()) {
            if (!node.isAlive()) {
                continue;
            }
            for (var shard : node.state().shards().values()) {
                owners.merge(shard.id(), 1, Integer::sum);
                for (var worker : shard.workers().values()) {
                    FakeWorker real = cluster.workers().get(worker.id().value());
                    boolean held = real != null && real.epoch().equals(Optional.of(shard.epoch()));
                    if (!held || worker.phase() != WorkerPhase.ACTIVE) {
                        return Optional.of(
                                node.name()
                                        + " does not hold "
                                        + worker.id()
                                        + ": "
                                        + worker.phase()
                                        + ", epoch "
                                        + shard.epoch()
                                        + " of "
                                        + (real == null ? "gone" : real.epoch()));
                    }
                }
            }
        }
        return owners.entrySet().stream()
                .filter(e -> e.getValue() != 1)
                .findFirst()
                .map(e -> e.getKey() + " has " + e.getValue() + " owners");
    }

    private String at() {
        return "at " + cluster.nowMillis() + ": ";
    }
}
