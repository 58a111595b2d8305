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

/** Invariants that are checked after each step of a {@link Cluster}. */
public final class ClusterInvariants {
    /** Maximum time for which an entry may rely on an older version after a change is accepted. */
    private static final long MAX_STALENESS_MILLIS = 4_000;

    private final Cluster cluster;
    private final Map<String, Long> versionByEntryRun = new HashMap<>();
    private final Map<String, Epoch> epochByWorker = new HashMap<>();
    private final TreeMap<Long, Long> acceptedAtMillisByVersion = new TreeMap<>();
    private int epochChangeCount;

    public ClusterInvariants(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Returns how often workers accepted an epoch that differs from the epoch accepted before. */
    public int epochChangeCount() {
        return epochChangeCount;
    }

    /** Returns the resources of the running tasks of {@code team}, summed over all workers. */
    public static Resources runningResources(Cluster cluster, TeamId team) {
        return cluster.workers().values().stream()
                .flatMap(w -> w.tasks().stream())
                .filter(t -> t.team().equals(team))
                .map(t -> t.size())
                .reduce(Resources.ZERO, Resources::plus);
    }

    /** Checks all invariants except the limits, which {@link #checkLimits()} checks. */
    public void check() {
        checkVersions();
        checkEpochs();
        checkConfigurationFreshness();
    }

    /** Checks that no team exceeds its limit in the configuration in the store. */
    public void checkLimits() {
        for (var team : cluster.store().configuration().teams().values()) {
            Resources running = runningResources(cluster, team.id());
            if (!running.fitsIn(team.limit())) {
                throw new AssertionError(
                        timePrefix()
                                + team.id()
                                + " runs "
                                + running
                                + " of at most "
                                + team.limit());
            }
        }
    }

    private void checkVersions() {
        for (Node node : cluster.nodes()) {
            String entryRun = node.state().self().id().toString();
            long version = node.state().configuration().map(Configuration::version).orElse(0L);
            Long previous = versionByEntryRun.put(entryRun, version);
            if (previous != null && previous > version) {
                throw new AssertionError(
                        timePrefix()
                                + entryRun
                                + " went from version "
                                + previous
                                + " to "
                                + version);
            }
        }
    }

    private void checkEpochs() {
        for (var idAndWorker : cluster.workers().entrySet()) {
            Optional<Epoch> epoch = idAndWorker.getValue().epoch();
            if (epoch.isEmpty()) {
                epochByWorker.remove(idAndWorker.getKey());
                continue;
            }
            Epoch previous = epochByWorker.put(idAndWorker.getKey(), epoch.get());
            if (previous != null && previous.isAbove(epoch.get())) {
                throw new AssertionError(
                        timePrefix() + idAndWorker.getKey() + " accepted a lower epoch");
            }
            if (previous != null && !previous.equals(epoch.get())) {
                epochChangeCount++;
            }
        }
    }

    private void checkConfigurationFreshness() {
        Configuration stored = cluster.store().configuration();
        long upToDateCount =
                cluster.nodes().stream().filter(n -> versionOf(n) >= stored.version()).count();
        if (upToDateCount >= stored.majority()) {
            acceptedAtMillisByVersion.putIfAbsent(stored.version(), cluster.nowMillis());
        }
        for (Node node : cluster.nodes()) {
            Long acceptedMillis = acceptedAtMillisByVersion.get(stored.version());
            boolean freshnessExpired =
                    acceptedMillis != null
                            && cluster.nowMillis() - acceptedMillis > MAX_STALENESS_MILLIS;
            if (freshnessExpired
                    && node.isRunning(cluster.nowMillis())
                    && versionOf(node) < stored.version()
                    && ConfigurationFreshness.isFresh(node.state())) {
                throw new AssertionError(
                        timePrefix() + node.name() + " relies on version " + versionOf(node));
            }
        }
    }

    private static long versionOf(Node node) {
        return node.state().configuration().map(Configuration::version).orElse(0L);
    }

    /**
     * Returns a description of the first shard found that does not have exactly one owner with
     * leases on all its workers; empty if there is no such shard.
     */
    public Optional<String> findUnsettledShard() {
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
                    FakeWorker fakeWorker = cluster.workers().get(worker.id().value());
                    boolean isLeaseHeld =
                            fakeWorker != null
                                    && fakeWorker.epoch().equals(Optional.of(shard.epoch()));
                    if (!isLeaseHeld || worker.phase() != WorkerPhase.ACTIVE) {
                        return Optional.of(
                                node.name()
                                        + " does not hold the lease on "
                                        + worker.id()
                                        + ": "
                                        + worker.phase()
                                        + ", epoch "
                                        + shard.epoch()
                                        + " of "
                                        + (fakeWorker == null ? "gone" : fakeWorker.epoch()));
                    }
                }
            }
        }
        return owners.entrySet().stream()
                .filter(e -> e.getValue() != 1)
                .findFirst()
                .map(e -> e.getKey() + " has " + e.getValue() + " owners instead of 1");
    }

    private String timePrefix() {
        return "at " + cluster.nowMillis() + ": ";
    }
}
