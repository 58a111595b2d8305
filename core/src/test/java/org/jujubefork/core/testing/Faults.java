package org.jujubefork.core.testing;

import java.util.ArrayList;
import java.util.List;

/** Injects random faults into a {@link Cluster}, and ends them again. */
public final class Faults {
    private final Cluster cluster;
    private long healAtMillis;
    private int injected;

    public Faults(Cluster cluster) {
        this.cluster = cluster;
    }

    public int injected() {
        return injected;
    }

    /** Starts a fault with a probability of 1 in 40, and ends what is over. */
    public void step() {
        if (healAtMillis != 0 && cluster.nowMillis() >= healAtMillis) {
            stop();
        }
        if (healAtMillis == 0 && cluster.random().nextInt(40) == 0) {
            inject();
            injected++;
            healAtMillis = cluster.nowMillis() + 500 + cluster.random().nextLong(25_000);
        }
    }

    private void inject() {
        Node node = any();
        switch (cluster.random().nextInt(11)) {
            case 0 -> cluster.kill(node.name());
            case 1 -> cluster.pause(node.name(), 1_000 + cluster.random().nextLong(20_000));
            case 2 -> cluster.store().up(false);
            case 3 -> cluster.cutFromAll(node.name());
            case 4 -> cluster.cutStore(node.name());
            case 5 -> cluster.network(0.2, 1_500);
            case 6 -> partition();
            case 7 -> cutWorkers(node);
            case 8 -> anyWorker().restart();
            case 9 -> replaceWorker();
            default -> {
                cluster.store().up(false);
                cluster.kill(node.name());
            }
        }
    }

    /** Splits entries and workers at random, so that both sides reach some workers. */
    private void partition() {
        List<String> left = new ArrayList<>();
        List<String> right = new ArrayList<>();
        for (Node node : cluster.nodes()) {
            (cluster.random().nextBoolean() ? left : right).add(node.name());
        }
        boolean storeLeft = cluster.random().nextBoolean();
        (storeLeft ? right : left).forEach(cluster::cutStore);
        left.forEach(a -> right.forEach(b -> cluster.cut(a, b)));
        for (String worker : cluster.workers().keySet()) {
            int reach = cluster.random().nextInt(3);
            if (reach == 0) {
                left.forEach(a -> cluster.cut(a, worker));
            } else if (reach == 1) {
                right.forEach(b -> cluster.cut(b, worker));
            }
        }
    }

    private void cutWorkers(Node node) {
        for (String worker : cluster.workers().keySet()) {
            if (cluster.random().nextBoolean()) {
                cluster.cut(node.name(), worker);
            }
        }
    }

    private FakeWorker anyWorker() {
        List<FakeWorker> workers = new ArrayList<>(cluster.workers().values());
        return workers.get(cluster.random().nextInt(workers.size()));
    }

    /** Replaces the VM of a worker by another one, as the platform does many times a day. */
    private void replaceWorker() {
        FakeWorker gone = anyWorker();
        cluster.removeWorker(gone.listing().id().value());
        cluster.addWorker("n" + injected, gone.listing().location().zone());
        if (cluster.random().nextBoolean()) {
            partition();
        }
    }

    private Node any() {
        List<Node> nodes = cluster.nodes();
        return nodes.get(cluster.random().nextInt(nodes.size()));
    }

    /** Ends all faults. */
    public void stop() {
        healAtMillis = 0;
        cluster.heal();
        cluster.network(0, 10);
        cluster.store().up(true);
        for (Node node : cluster.nodes()) {
            if (!node.isAlive()) {
                cluster.restart(node.name());
            }
        }
    }
}
