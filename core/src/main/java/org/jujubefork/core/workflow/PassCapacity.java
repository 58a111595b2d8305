package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * Free capacity of the workers and of the teams' limits during one pass of the placement. Lives
 * only for the pass, on the control thread.
 */
final class PassCapacity {
    /** Weight of a worker away from the data of a step, above any weight by free capacity. */
    private static final double FAR_PENALTY = 10;

    /** The largest part of the workers that is kept for work that does not fit yet. */
    private static final double MOST_KEPT = 0.5;

    private final WorkflowState state;
    private final Map<String, Resources> free = new HashMap<>();
    private final Map<String, Resources> usage = new HashMap<>();
    private final Map<StepKey, Map<String, Integer>> placed = new HashMap<>();
    private final List<WorkerNode> usable = new ArrayList<>();
    private final Set<String> kept = new HashSet<>();
    private final List<Candidate> left = new ArrayList<>();
    private final Map<String, Resources> capacity = new HashMap<>();
    private final Map<String, Resources> taken = new HashMap<>();
    private Resources most = Resources.ZERO;

    private PassCapacity(WorkflowState state) {
        this.state = state;
    }

    static PassCapacity of(WorkflowState state) {
        PassCapacity rooms = new PassCapacity(state);
        for (WorkerNode node : state.workers().values()) {
            Resources left = node.listing().room();
            for (Map.Entry<TaskKey, WorkerNode.Charge> entry : node.charges().entrySet()) {
                WorkerNode.Charge charge = entry.getValue();
                left = left.minus(charge.size());
                rooms.usage.merge(charge.team(), charge.size(), Resources::plus);
                rooms.placed
                        .computeIfAbsent(entry.getKey().stepKey(), k -> new HashMap<>())
                        .merge(node.id(), 1, Integer::sum);
            }
            boolean stored = state.commits().listsWorker(node.id());
            if (stored && node.isUsable(state.now())) {
                rooms.usable.add(node);
                rooms.free.put(node.id(), left);
                rooms.most = rooms.most.max(left);
                String service = node.listing().service();
                rooms.capacity.merge(service, node.listing().room(), Resources::plus);
                rooms.taken.merge(service, node.listing().room().minus(left), Resources::plus);
            }
        }
        return rooms;
    }

    private static boolean isEligible(Candidate candidate, WorkerNode node) {
        String label = candidate.definition().requiredLabel();
        return node.listing().service().equals(candidate.queue().service())
                && (label.isEmpty() || node.listing().labels().contains(label))
                && candidate.definition().size().fitsIn(node.listing().room());
    }

    /** Returns whether so much is free that work of {@code rank} may start on {@code service}. */
    boolean hasSpare(String service, Urgency.Rank rank) {
        Resources all = capacity.getOrDefault(service, Resources.ZERO);
        Resources used = taken.getOrDefault(service, Resources.ZERO);
        return rank.spare() == 0 || used.dominantShareOf(all) <= 1 - rank.spare();
    }

    /** Notes that tasks of {@code candidate} found no room, though a worker could run them. */
    void left(Candidate candidate) {
        if (teamHasRoom(candidate) && usable.stream().anyMatch(n -> mayRun(candidate, n))) {
            left.add(candidate);
        }
    }

    /** Returns what has found no room in this pass. */
    ServiceBacklogs pressure() {
        Map<String, Long> cpu = new HashMap<>();
        capacity.forEach((s, r) -> cpu.put(s, r.cpuMillis()));
        return ServiceBacklogs.of(left, cpu);
    }

    /**
     * Keeps workers free of what comes later in the pass, until all tasks of {@code candidate} fit.
     * Small tasks would otherwise take each room that becomes free before it is large enough. The
     * emptiest workers are kept; they stay the emptiest, so that the next pass keeps the same ones.
     */
    void keep(Candidate candidate) {
        if (!candidate.rank().holdsRoom() || !teamHasRoom(candidate)) {
            return;
        }
        long most = Math.round(usable.size() * MOST_KEPT) - kept.size();
        long missing = candidate.run().tasks().size();
        List<WorkerNode> emptiest =
                usable.stream()
                        .filter(n -> !kept.contains(n.id()) && mayRun(candidate, n))
                        .sorted(Comparator.comparingLong(n -> -free.get(n.id()).cpuMillis()))
                        .limit(Math.max(0, most))
                        .toList();
        for (WorkerNode node : emptiest) {
            if (missing <= 0) {
                return;
            }
            kept.add(node.id());
            missing -= Math.max(1, fitting(candidate, node));
        }
    }

    private long fitting(Candidate candidate, WorkerNode node) {
        int most = candidate.definition().maxPerWorker();
        Resources size = candidate.definition().charged();
        long count = 0;
        while ((most == 0 || count < most)
                && count < candidate.run().tasks().size()
                && size.times(count + 1).fitsIn(free.get(node.id()))) {
            count++;
        }
        return count;
    }

    /** Returns the workers that could run the step and that no call has named. */
    List<String> unasked(Candidate candidate, StepProgress.AdviceState advice) {
        return usable.stream()
                .filter(n -> isEligible(candidate, n) && !advice.candidates().contains(n.id()))
                .map(WorkerNode::id)
                .toList();
    }

    /** Takes room for one task on the best worker, if there is any. */
    Optional<String> take(Candidate candidate, Set<String> onlyRack) {
        // No run ends during a pass, so that the largest free room stays an upper bound.
        if (!candidate.definition().charged().fitsIn(most) || !teamHasRoom(candidate)) {
            return Optional.empty();
        }
        WorkerNode best = null;
        double bestScore = Double.MAX_VALUE;
        for (WorkerNode node : usable) {
            if (fits(candidate, node) && isAllowed(node, onlyRack)) {
                double score = score(candidate, node);
                if (score < bestScore) {
                    best = node;
                    bestScore = score;
                }
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        charge(candidate, best.id(), 1);
        return Optional.of(best.id());
    }

    /** Takes room for {@code count} tasks, or none; in one rack if that matters and is possible. */
    Optional<List<String>> takeAll(Candidate candidate, int count) {
        if (candidate.definition().sameRack()) {
            for (String rack : racks()) {
                Optional<List<String>> inRack = takeAll(candidate, count, Set.of(rack));
                if (inRack.isPresent()) {
                    return inRack;
                }
            }
        }
        return takeAll(candidate, count, Set.of());
    }

    private Optional<List<String>> takeAll(Candidate candidate, int count, Set<String> rack) {
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Optional<String> worker = take(candidate, rack);
            if (worker.isEmpty()) {
                taken.forEach(w -> charge(candidate, w, -1));
                return Optional.empty();
            }
            taken.add(worker.get());
        }
        return Optional.of(taken);
    }

    private Set<String> racks() {
        Set<String> racks = new LinkedHashSet<>();
        usable.forEach(n -> racks.add(rackOf(n)));
        return racks;
    }

    private static String rackOf(WorkerNode node) {
        return node.listing().rack();
    }

    private static boolean isAllowed(WorkerNode node, Set<String> onlyRack) {
        return onlyRack.isEmpty() || onlyRack.contains(rackOf(node));
    }

    private boolean teamHasRoom(Candidate candidate) {
        String team = candidate.job().team();
        Resources limit =
                state.configuration()
                        .flatMap(c -> c.team(team))
                        .map(CellConfiguration.Team::limit)
                        .orElse(Resources.ZERO);
        Resources total =
                usage.getOrDefault(team, Resources.ZERO).plus(candidate.definition().charged());
        return withinLimit(total.cpuMillis(), limit.cpuMillis())
                && withinLimit(total.memoryMb(), limit.memoryMb())
                && withinLimit(total.accelerators(), limit.accelerators());
    }

    private static boolean withinLimit(long total, long limit) {
        return limit == 0 || total <= limit;
    }

    private boolean fits(Candidate candidate, WorkerNode node) {
        int most = candidate.definition().maxPerWorker();
        boolean spread = most == 0 || placedOn(candidate, node) < most;
        return spread
                && !kept.contains(node.id())
                && candidate.definition().charged().fitsIn(free.get(node.id()))
                && mayRun(candidate, node);
    }

    private static boolean mayRun(Candidate candidate, WorkerNode node) {
        boolean advised =
                candidate.queue().advice().isEmpty()
                        || candidate.run().advice().tickets().containsKey(node.id());
        return advised && isEligible(candidate, node);
    }

    private int placedOn(Candidate candidate, WorkerNode node) {
        return placed.getOrDefault(candidate.key(), Map.of()).getOrDefault(node.id(), 0);
    }

    /** The fullest worker that fits is the best, so that wide gangs find whole workers free. */
    private double score(Candidate candidate, WorkerNode node) {
        Resources left = free.get(node.id()).minus(candidate.definition().charged());
        double score = left.dominantShareOf(node.listing().room());
        String rack = candidate.definition().dataRack();
        return rack.isEmpty() || rack.equals(rackOf(node)) ? score : score + FAR_PENALTY;
    }

    private void charge(Candidate candidate, String worker, int sign) {
        Resources size = candidate.definition().charged().times(sign);
        free.merge(worker, size, Resources::minus);
        usage.merge(candidate.job().team(), size, Resources::plus);
        taken.merge(candidate.queue().service(), size, Resources::plus);
        placed.computeIfAbsent(candidate.key(), k -> new HashMap<>())
                .merge(worker, sign, Integer::sum);
    }
}
