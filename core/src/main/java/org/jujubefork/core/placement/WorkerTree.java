package org.jujubefork.core.placement;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.jujubefork.core.model.Resources;

/**
 * An immutable ordered set of workers with totals and maxima of their free capacity.
 *
 * <p>It is a treap: a binary search tree by the comparator and a heap by a hash of the worker's id,
 * which keeps its expected depth logarithmic and its shape independent of the order of changes. The
 * maxima of subtrees let a search skip subtrees in which nothing fits; a plain sorted set would
 * have to be scanned where CPU is free but memory or accelerators are not.
 */
public final class WorkerTree implements Iterable<WorkerKey> {
    private final Comparator<WorkerKey> order;
    private final Node root;

    private WorkerTree(Comparator<WorkerKey> order, Node root) {
        this.order = order;
        this.root = root;
    }

    /** A node with the maxima and totals of its subtree. */
    private static final class Node {
        final WorkerKey key;
        final int priority;
        final Node left;
        final Node right;
        final long maxFreeCpuMillis;
        final long maxFreeMemoryMb;
        final long maxFreeAccelerators;
        final long totalFreeCpuMillis;
        final long totalFreeMemoryMb;
        final long totalFreeAccelerators;
        final int maxFreeSlots;
        final int totalFreeSlots;
        final int size;

        Node(WorkerKey key, int priority, Node left, Node right) {
            this.key = key;
            this.priority = priority;
            this.left = left;
            this.right = right;
            Resources free = key.free();
            maxFreeCpuMillis = maximum(free.cpuMillis(), left, right, n -> n.maxFreeCpuMillis);
            maxFreeMemoryMb = maximum(free.memoryMb(), left, right, n -> n.maxFreeMemoryMb);
            maxFreeAccelerators =
                    maximum(free.accelerators(), left, right, n -> n.maxFreeAccelerators);
            totalFreeCpuMillis = sum(free.cpuMillis(), left, right, n -> n.totalFreeCpuMillis);
            totalFreeMemoryMb = sum(free.memoryMb(), left, right, n -> n.totalFreeMemoryMb);
            totalFreeAccelerators =
                    sum(free.accelerators(), left, right, n -> n.totalFreeAccelerators);
            maxFreeSlots = (int) maximum(key.freeSlots(), left, right, n -> n.maxFreeSlots);
            totalFreeSlots = (int) sum(key.freeSlots(), left, right, n -> n.totalFreeSlots);
            size = (int) sum(1, left, right, n -> n.size);
        }

        private static long maximum(
                long ownValue, Node left, Node right, ToLongFunction<Node> component) {
            long max = left == null ? ownValue : Math.max(ownValue, component.applyAsLong(left));
            return right == null ? max : Math.max(max, component.applyAsLong(right));
        }

        private static long sum(
                long ownValue, Node left, Node right, ToLongFunction<Node> component) {
            long sum = left == null ? ownValue : ownValue + component.applyAsLong(left);
            return right == null ? sum : sum + component.applyAsLong(right);
        }

        Node withChildren(Node newLeft, Node newRight) {
            return new Node(key, priority, newLeft, newRight);
        }

        boolean mayFit(Demand demand) {
            Resources needed = demand.requiredFree();
            return needed.cpuMillis() <= maxFreeCpuMillis
                    && needed.memoryMb() <= maxFreeMemoryMb
                    && needed.accelerators() <= maxFreeAccelerators
                    && (demand.requiredSlots() == 0
                            || maxFreeSlots >= demand.requiredSlots() + demand.reservedSlots());
        }
    }

    /** The subtrees of a split tree: the workers below and above the split key. */
    private record Split(Node below, Node above) {}

    /** Returns a tree without workers that is ordered by {@code order}. */
    static WorkerTree empty(Comparator<WorkerKey> order) {
        return new WorkerTree(order, null);
    }

    /** Returns this tree with {@code key} added; the tree must not contain it. */
    WorkerTree plus(WorkerKey key) {
        return new WorkerTree(order, insert(root, key, priority(key)));
    }

    /** Returns this tree without {@code key}. */
    WorkerTree minus(WorkerKey key) {
        return new WorkerTree(order, remove(root, key));
    }

    /** Returns the number of workers. */
    public int size() {
        return root == null ? 0 : root.size;
    }

    /** Returns whether the tree has no workers. */
    public boolean isEmpty() {
        return root == null;
    }

    /** Returns the free resources, summed over all workers. */
    public Resources totalFree() {
        return root == null
                ? Resources.ZERO
                : new Resources(
                        root.totalFreeCpuMillis,
                        root.totalFreeMemoryMb,
                        root.totalFreeAccelerators);
    }

    /**
     * Returns the maximum of the free resources of a worker, component by component; the maxima may
     * be those of different workers.
     */
    public Resources maxFree() {
        return root == null
                ? Resources.ZERO
                : new Resources(
                        root.maxFreeCpuMillis, root.maxFreeMemoryMb, root.maxFreeAccelerators);
    }

    /** Returns the number of free request slots, summed over all workers. */
    public int totalFreeSlots() {
        return root == null ? 0 : root.totalFreeSlots;
    }

    /** Returns whether {@code demand} may fit on a worker; false means that it fits on none. */
    public boolean mayFit(Demand demand) {
        return root != null && root.mayFit(demand);
    }

    /** Returns the first worker in order on which {@code demand} fits; empty if there is none. */
    public Optional<WorkerKey> first(Demand demand) {
        return Optional.ofNullable(find(root, demand, true));
    }

    /** Returns the last worker in order on which {@code demand} fits; empty if there is none. */
    public Optional<WorkerKey> last(Demand demand) {
        return Optional.ofNullable(find(root, demand, false));
    }

    @Override
    public Iterator<WorkerKey> iterator() {
        return new InOrder(root);
    }

    private static WorkerKey find(Node node, Demand demand, boolean ascending) {
        if (node == null || !node.mayFit(demand)) {
            return null;
        }
        WorkerKey inNearSubtree = find(ascending ? node.left : node.right, demand, ascending);
        if (inNearSubtree != null) {
            return inNearSubtree;
        }
        return demand.fits(node.key)
                ? node.key
                : find(ascending ? node.right : node.left, demand, ascending);
    }

    private static int priority(WorkerKey key) {
        int hash = key.worker().value().hashCode();
        hash = (hash ^ (hash >>> 16)) * 0x85ebca6b;
        hash = (hash ^ (hash >>> 13)) * 0xc2b2ae35;
        return hash ^ (hash >>> 16);
    }

    private Node insert(Node node, WorkerKey key, int priority) {
        if (node == null) {
            return new Node(key, priority, null, null);
        }
        if (priority > node.priority) {
            Split split = split(node, key);
            return new Node(key, priority, split.below(), split.above());
        }
        return order.compare(key, node.key) < 0
                ? node.withChildren(insert(node.left, key, priority), node.right)
                : node.withChildren(node.left, insert(node.right, key, priority));
    }

    private Split split(Node node, WorkerKey key) {
        if (node == null) {
            return new Split(null, null);
        }
        if (order.compare(node.key, key) < 0) {
            Split right = split(node.right, key);
            return new Split(node.withChildren(node.left, right.below()), right.above());
        }
        Split left = split(node.left, key);
        return new Split(left.below(), node.withChildren(left.above(), node.right));
    }

    private Node remove(Node node, WorkerKey key) {
        if (node == null) {
            return null;
        }
        int comparison = order.compare(key, node.key);
        if (comparison == 0) {
            return merge(node.left, node.right);
        }
        return comparison < 0
                ? node.withChildren(remove(node.left, key), node.right)
                : node.withChildren(node.left, remove(node.right, key));
    }

    private static Node merge(Node below, Node above) {
        if (below == null) {
            return above;
        }
        if (above == null) {
            return below;
        }
        return below.priority > above.priority
                ? below.withChildren(below.left, merge(below.right, above))
                : above.withChildren(merge(below, above.left), above.right);
    }

    /** Iterates over a tree in ascending order. */
    private static final class InOrder implements Iterator<WorkerKey> {
        private final Deque<Node> pending = new ArrayDeque<>();

        InOrder(Node root) {
            descend(root);
        }

        private void descend(Node from) {
            for (Node node = from; node != null; node = node.left) {
                pending.push(node);
            }
        }

        @Override
        public boolean hasNext() {
            return !pending.isEmpty();
        }

        @Override
        public WorkerKey next() {
            if (pending.isEmpty()) {
                throw new NoSuchElementException("no more workers");
            }
            Node node = pending.pop();
            descend(node.right);
            return node.key;
        }
    }
}
