package org.jujubefork.core.testing;

import java.util.ArrayList;
import java.util.List;

/** Injects random faults of limited duration into a {@link Cluster}. */
public final class FaultInjector {
    private final Cluster cluster;
    private long faultEndsAtMillis;
    private int injectedCount;

    public FaultInjector(Cluster cluster) {
        this.cluster = cluster;
    }

    public int injectedCount() {
        return injectedCount;
    }

    /**
     * Ends the current fault if its time is over; if there is no fault, starts one with a
     * probability of 1 in 40.
     */
    public void step() {
        if (faultEndsAtMillis != 0 && cluster.nowMillis() >= faultEndsAtMillis) {
            endFaults();
        }
        if (faultEndsAtMillis == 0 && cluster.random().nextInt(40) == 0) {
            injectFault();
            injectedCount++;
            faultEndsAtMillis = cluster.nowMillis() + 500 + cluster.random().nextLong(25_000);
        }
    }

    private void injectFault() {
        Node node = anyNode();
        switch (cluster.random().nextInt(11)) {
            case 0 -> cluster.kill(node.name());
            case 1 -> cluster.pause(node.name(), 1_000 + cluster.random().nextLong(20_000));
            case 2 -> cluster.store().setAvailable(false);
            case 3 -> cluster.isolate(node.name());
            case 4 -> cluster.disconnectFromStore(node.name());
            case 5 -> cluster.setNetwork(0.2, 1_500);
            case 6 -> partition();
            case 7 -> disconnectWorkers(node);
            case 8 -> anyWorker().restart();
            case 9 -> replaceWorker();
            default -> {
                cluster.store().setAvailable(false);
                cluster.kill(node.name());
            }
        }
    }

    /** Partitions entries at random; each worker is reachable from one side or from both. */
    private void partition() {
        List<String> sideA = new ArrayList<>();
        List<String> sideB = new ArrayList<>();
        for (Node node : cluster.nodes()) {
            (cluster.random().nextBoolean() ? sideA : sideB).add(node.name());
        }
        boolean isStoreOnSideA = cluster.random().nextBoolean();
        (isStoreOnSideA ? sideB : sideA).forEach(cluster::disconnectFromStore);
        sideA.forEach(a -> sideB.forEach(b -> cluster.disconnect(a, b)));
        for (String worker : cluster.workers().keySet()) {
            int reachability = cluster.random().nextInt(3);
            if (reachability == 0) {
                sideA.forEach(a -> cluster.disconnect(a, worker));
            } else if (reachability == 1) {
                sideB.forEach(b -> cluster.disconnect(b, worker));
            }
        }
    }

    private void disconnectWorkers(Node node) {
        for (String worker : cluster.workers().keySet()) {
            if (cluster.random().nextBoolean()) {
                cluster.disconnect(node.name(), worker);
            }
        }
    }

    private FakeWorker anyWorker() {
        List<FakeWorker> workers = new ArrayList<>(cluster.workers().values());
        return workers.get(cluster.random().nextInt(workers.size()));
    }

    /** Replaces the VM of a worker by a new one, as the platform does many times a day. */
    private void replaceWorker() {
        FakeWorker replaced = anyWorker();
        cluster.removeWorker(replaced.listing().id().value());
        cluster.addWorker("n" + injectedCount, replaced.listing().location().zone());
        if (cluster.random().nextBoolean()) {
            partition();
        }
    }

    private Node anyNode() {
        List<Node> nodes = cluster.nodes();
        return nodes.get(cluster.random().nextInt(nodes.size()));
    }

    /** Ends all faults: restores links and the store, and restarts entries that were killed. */
    public void endFaults() {
        faultEndsAtMillis = 0;
        cluster.reconnectAll();
        cluster.setNetwork(0, 10);
        cluster.store().setAvailable(true);
        for (Node node : cluster.nodes()) {
            if (!node.isAlive()) {
                cluster.restart(node.name());
            }
        }
    }
}
