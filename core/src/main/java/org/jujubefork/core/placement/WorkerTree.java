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
 * An immutable ordered set of workers that knows sums and maxima of what is free.
 *
 * <p>It is a treap: a binary search tree by the comparator and a heap by a hash of the worker's id,
 * which keeps its expected depth logarithmic and its shape independent of the order of changes. The
 * maxima of subtrees let a search skip parts in which nothing fits; a plain sorted set would have
 * to be scanned where processors are free but memory or accelerators are not.
 */
public final class WorkerTree implements Iterable<WorkerKey> {
    private final Comparator<WorkerKey> order;
    private final Node root;

    private WorkerTree(Comparator<WorkerKey> order, Node root) {
        this.order = order;
        this.root = root;
    }

    /** A worker with the workers before and after it, and sums over all of them. */
    private static final class Node {
        final WorkerKey key;
        final int priority;
        final Node left;
        final Node right;
        final long mostCpuMillis;
        final long mostMemoryMb;
        final long mostAccelerators;
        final long cpuMillis;
        final long memoryMb;
        final long accelerators;
        final int mostSlots;
        final int slots;
        final int size;

        Node(WorkerKey key, int priority, Node left, Node right) {
            this.key = key;
            this.priority = priority;
            this.left = left;
            this.right = right;
            Resources free = key.free();
            mostCpuMillis = most(free.cpuMillis(), left, right, n -> n.mostCpuMillis);
            mostMemoryMb = most(free.memoryMb(), left, right, n -> n.mostMemoryMb);
            mostAccelerators = most(free.accelerators(), left, right, n -> n.mostAccelerators);
            cpuMillis = sum(free.cpuMillis(), left, right, n -> n.cpuMillis);
            memoryMb = sum(free.memoryMb(), left, right, n -> n.memoryMb);
            accelerators = sum(free.accelerators(), left, right, n -> n.accelerators);
            mostSlots = (int) most(key.slots(), left, right, n -> n.mostSlots);
            slots = (int) sum(key.slots(), left, right, n -> n.slots);
            size = (int) sum(1, left, right, n -> n.size);
        }

        private static long most(long own, Node left, Node right, ToLongFunction<Node> of) {
            long most = left == null ? own : Math.max(own, of.applyAsLong(left));
            return right == null ? most : Math.max(most, of.applyAsLong(right));
        }

        private static long sum(long own, Node left, Node right, ToLongFunction<Node> of) {
            long sum = left == null ? own : own + of.applyAsLong(left);
            return right == null ? sum : sum + of.applyAsLong(right);
        }

        Node with(Node newLeft, Node newRight) {
            return new Node(key, priority, newLeft, newRight);
        }

        boolean mayFit(Demand demand) {
            Resources needed = demand.needed();
            return needed.cpuMillis() <= mostCpuMillis
                    && needed.memoryMb() <= mostMemoryMb
                    && needed.accelerators() <= mostAccelerators
                    && (demand.slots() == 0
                            || mostSlots >= demand.slots() + demand.keepFreeSlots());
        }
    }

    /** The two parts of a split tree. */
    private record Split(Node below, Node above) {}

    /** Returns a tree without workers that is ordered by {@code order}. */
    static WorkerTree empty(Comparator<WorkerKey> order) {
        return new WorkerTree(order, null);
    }

    /** Returns this tree with {@code key}, which must not be in it. */
    WorkerTree plus(WorkerKey key) {
        return new WorkerTree(order, insert(root, key, priority(key)));
    }

    /** Returns this tree without {@code key}. */
    WorkerTree minus(WorkerKey key) {
        return new WorkerTree(order, remove(root, key));
    }

    /** Returns how many workers there are. */
    public int size() {
        return root == null ? 0 : root.size;
    }

    /** Returns whether there is no worker. */
    public boolean isEmpty() {
        return root == null;
    }

    /** Returns what is free, summed over workers. */
    public Resources free() {
        return root == null
                ? Resources.ZERO
                : new Resources(root.cpuMillis, root.memoryMb, root.accelerators);
    }

    /** Returns the largest free amount on one worker, component by component. */
    public Resources largestFree() {
        return root == null
                ? Resources.ZERO
                : new Resources(root.mostCpuMillis, root.mostMemoryMb, root.mostAccelerators);
    }

    /** Returns how many request slots are free. */
    public int freeSlots() {
        return root == null ? 0 : root.slots;
    }

    /** Returns whether a worker may exist on which {@code demand} fits; no means that none does. */
    public boolean mayFit(Demand demand) {
        return root != null && root.mayFit(demand);
    }

    /** Returns the first worker in the order on which {@code demand} fits. */
    public Optional<WorkerKey> first(Demand demand) {
        return Optional.ofNullable(find(root, demand, true));
    }

    /** Returns the last worker in the order on which {@code demand} fits. */
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
        WorkerKey near = find(ascending ? node.left : node.right, demand, ascending);
        if (near != null) {
            return near;
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
                ? node.with(insert(node.left, key, priority), node.right)
                : node.with(node.left, insert(node.right, key, priority));
    }

    private Split split(Node node, WorkerKey key) {
        if (node == null) {
            return new Split(null, null);
        }
        if (order.compare(node.key, key) < 0) {
            Split right = split(node.right, key);
            return new Split(node.with(node.left, right.below()), right.above());
        }
        Split left = split(node.left, key);
        return new Split(left.below(), node.with(left.above(), node.right));
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
                ? node.with(remove(node.left, key), node.right)
                : node.with(node.left, remove(node.right, key));
    }

    private static Node merge(Node below, Node above) {
        if (below == null) {
            return above;
        }
        if (above == null) {
            return below;
        }
        return below.priority > above.priority
                ? below.with(below.left, merge(below.right, above))
                : above.with(merge(below, above.left), above.right);
    }

    /** Iterates over a tree in its order. */
    private static final class InOrder implements Iterator<WorkerKey> {
        private final Deque<Node> path = new ArrayDeque<>();

        InOrder(Node root) {
            descend(root);
        }

        private void descend(Node from) {
            for (Node node = from; node != null; node = node.left) {
                path.push(node);
            }
        }

        @Override
        public boolean hasNext() {
            return !path.isEmpty();
        }

        @Override
        public WorkerKey next() {
            if (path.isEmpty()) {
                throw new NoSuchElementException("no more workers");
            }
            Node node = path.pop();
            descend(node.right);
            return node.key;
        }
    }
}
