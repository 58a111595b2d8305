package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.PassRemainder.FreeWorker;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * Free capacity of the workers and of the teams' limits during one placement pass. Mutable; used on
 * the control thread for one pass only.
 */
final class PassCapacity {
    private final TeamShare share;
    private final TeamUsage teamUsage;
    private final StoppingTasks stoppingTasks;
    private final FreeReserve reserve;
    private final Memoized<UrgentArrivals> urgentArrivals;
    private final Map<String, Resources> freeByWorker = new HashMap<>();
    private final Map<StepKey, Map<String, Integer>> newTasksByStep = new HashMap<>();
    private final Map<String, WorkerNode> usableWorkers = new HashMap<>();
    private final List<WorkerNode> evacuatedWorkers = new ArrayList<>();
    private final ReservedWorkers reservedWorkers =
            new ReservedWorkers(usableWorkers.values(), freeByWorker::get);
    private final List<Candidate> unplacedCandidates = new ArrayList<>();
    private final List<Candidate> teamLimitedCandidates = new ArrayList<>();
    private final List<Candidate> untriedCandidates = new ArrayList<>();
    private final ServiceCapacities services = new ServiceCapacities();
    private Resources maxFree = Resources.ZERO;

    /** The candidate that {@link #runnableWorkers} belongs to; steps are placed one by one. */
    private Candidate runnableWorkersCandidate;

    private List<WorkerNode> runnableWorkers = List.of();

    private PassCapacity(WorkflowState state) {
        this.share = state.policies().share();
        this.teamUsage = TeamUsage.of(state);
        this.stoppingTasks = StoppingTasks.of(state);
        this.reserve = state.policies().order().reserve();
        this.urgentArrivals = new Memoized<>(() -> UrgentArrivals.of(state));
    }

    static PassCapacity of(WorkflowState state) {
        PassCapacity result = new PassCapacity(state);
        for (WorkerNode node : state.workers().values()) {
            Resources freeCapacity = node.freeCapacity();
            if (state.isOpenForStarts(node)) {
                result.usableWorkers.put(node.id(), node);
                result.freeByWorker.put(node.id(), freeCapacity);
                result.maxFree = result.maxFree.max(freeCapacity);
                result.services.add(node.listing(), freeCapacity);
            } else if (state.evacuations().covers(node.listing().zone())
                    && node.isUsable(state.now())) {
                result.evacuatedWorkers.add(node);
            }
        }
        return result;
    }

    /** Returns the tasks that must not start yet, because an older run may be active. */
    StoppingTasks stoppingTasks() {
        return stoppingTasks;
    }

    /** Returns whether the step could run on {@code node} if it had a ticket and room there. */
    static boolean isEligible(Candidate candidate, WorkerNode node) {
        return StepFit.isEligible(candidate.definition(), candidate.queue(), node);
    }

    /**
     * Returns whether the service of {@code candidate} has the fraction of free capacity that must
     * be free before its tasks start.
     */
    boolean hasRequiredFreeCapacity(Candidate candidate) {
        String service = candidate.queue().service();
        double minFreeFraction =
                Math.max(
                        share.minFreeFraction(candidate.rank()),
                        reserve.minFreeFraction(
                                candidate, urgentArrivals, services.cpuMillis(service)));
        return minFreeFraction == 0 || services.allocatedFraction(service) <= 1 - minFreeFraction;
    }

    /**
     * Records that tasks of {@code candidate} were not placed for lack of free capacity, unless its
     * team is at its limit or the usable workers can never run them. Returns why they were not
     * placed.
     */
    WaitReason recordUnplaced(Candidate candidate) {
        int count = concurrentTasks(candidate);
        if (!isWithinTeamLimit(candidate, count)) {
            teamLimitedCandidates.add(candidate);
            return teamLimitReason(candidate, count);
        }
        if (runnableWorkers(candidate).isEmpty()) {
            return hasEligibleWorker(candidate) ? WaitReason.NO_TICKET : noWorkerReason(candidate);
        }
        if (!fitsWhenIdle(candidate)) {
            return WaitReason.TOO_FEW_WORKERS;
        }
        unplacedCandidates.add(candidate);
        return hasRoomOnReservedWorkers(candidate, count)
                ? WaitReason.WORKERS_RESERVED
                : WaitReason.NO_ROOM;
    }

    /**
     * Records that {@code candidate} is not stored yet or has no tickets yet, unless the limit of
     * its team or the workers keep it from starting anyway.
     */
    void recordUntried(Candidate candidate) {
        if (isWithinTeamLimit(candidate, concurrentTasks(candidate))
                && hasEligibleWorker(candidate)) {
            untriedCandidates.add(candidate);
        }
    }

    /** Records that {@code candidate} leaves free capacity to more urgent work. */
    void recordHeldBack(Candidate candidate) {
        if (candidate.rank().reservesCapacity()) {
            recordUnplaced(candidate);
        }
    }

    private WaitReason teamLimitReason(Candidate candidate, int count) {
        return teamUsage.isLimitedByUnknownUsage(
                        candidate.job().team(), capacityOf(candidate, count))
                ? WaitReason.TEAM_LIMIT_UNKNOWN_USAGE
                : WaitReason.TEAM_LIMIT;
    }

    private static Resources capacityOf(Candidate candidate, int taskCount) {
        return candidate.definition().chargedCapacity().times(taskCount);
    }

    /** Returns whether {@code taskCount} more tasks keep the team within its limit. */
    boolean isWithinTeamLimit(Candidate candidate, int taskCount) {
        return teamUsage.isWithinLimit(candidate.job().team(), capacityOf(candidate, taskCount));
    }

    /** Returns whether {@code count} tasks would fit if no workers were reserved. */
    private boolean hasRoomOnReservedWorkers(Candidate candidate, int count) {
        if (reservedWorkers.count() == 0) {
            return false;
        }
        long reservedPlaces = 0;
        long otherPlaces = 0;
        for (WorkerNode node : runnableWorkers(candidate)) {
            reservedPlaces += reservedPlaces(candidate, node);
            otherPlaces += freePlaces(candidate, node);
        }
        // A single task did not fit on the other workers, whose places may be beyond the maximum
        // number of tasks per worker.
        return reservedPlaces > 0 && (count == 1 || reservedPlaces + otherPlaces >= count);
    }

    /**
     * Returns whether the tasks of the step may fit into the free capacity now; an estimate that
     * does not look at each worker.
     */
    boolean mayFit(Candidate candidate) {
        int count = concurrentTasks(candidate);
        boolean needsTicket = candidate.queue().advice().isPresent();
        return !(needsTicket && candidate.progress().advice().tickets().isEmpty())
                && candidate.job().stored()
                && candidate.definition().chargedCapacity().fitsIn(maxFree)
                && capacityOf(candidate, count).fitsIn(services.free(candidate.queue().service()))
                && isWithinTeamLimit(candidate, count);
    }

    /** Returns whether a usable worker could run the step, with or without a ticket. */
    boolean hasEligibleWorker(Candidate candidate) {
        return usableWorkers.values().stream().anyMatch(n -> isEligible(candidate, n));
    }

    /** Returns why no usable worker could run the step. */
    WaitReason noWorkerReason(Candidate candidate) {
        return evacuatedWorkers.stream().anyMatch(n -> isEligible(candidate, n))
                ? WaitReason.ZONE_EVACUATED
                : WaitReason.NO_WORKER;
    }

    /** Returns how many tasks of the step have to start at the same time. */
    private static int concurrentTasks(Candidate candidate) {
        return candidate.definition().gang() ? candidate.definition().taskCount() : 1;
    }

    /** Returns whether the workers that may run the step could run it if nothing else ran there. */
    private boolean fitsWhenIdle(Candidate candidate) {
        long missingPlaces = concurrentTasks(candidate);
        for (WorkerNode node : runnableWorkers(candidate)) {
            missingPlaces -= totalPlaces(candidate, node);
            if (missingPlaces <= 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns the steps that were not placed in this pass for lack of free capacity. */
    List<Candidate> unplacedCandidates() {
        return Collections.unmodifiableList(unplacedCandidates);
    }

    /** Returns what the teams have running, including the allocations of this pass. */
    TeamUsage teamUsage() {
        return teamUsage;
    }

    /** Returns what this pass has left over. */
    PassRemainder remainder() {
        List<FreeWorker> free = new ArrayList<>();
        for (WorkerNode node : usableWorkers.values()) {
            Resources freeCapacity = freeByWorker.get(node.id());
            if (freeCapacity.cpuMillis() > 0 && !reservedWorkers.contains(node.id())) {
                free.add(new FreeWorker(node, freeCapacity));
            }
        }
        return new PassRemainder(
                unplacedCandidates,
                untriedCandidates,
                teamLimitedCandidates,
                free,
                services.capacities(),
                services.allocations());
    }

    /**
     * Reserves workers for the rest of the pass, as many as are needed for all tasks of {@code
     * candidate} to fit. Without a reservation, small tasks would occupy capacity as soon as it
     * becomes free, and the gang might never start.
     *
     * <p>A gang that its team's limit or the number of its workers keeps from starting gets no
     * reservation, because free capacity on the reserved workers would not let it start.
     */
    void reserveWorkers(Candidate candidate) {
        double allocatedFraction = services.allocatedFraction(candidate.queue().service());
        if (GangReservations.isDue(candidate, allocatedFraction)
                && isWithinTeamLimit(candidate, concurrentTasks(candidate))
                && fitsWhenIdle(candidate)) {
            reservedWorkers.reserve(candidate, runnableWorkers(candidate));
        }
    }

    /**
     * Returns how many tasks of the step fit on {@code node} now; 0 if the worker is reserved for a
     * gang.
     */
    long freePlaces(Candidate candidate, WorkerNode node) {
        return reservedWorkers.contains(node.id())
                ? 0
                : placesIn(candidate, freeByWorker.get(node.id()));
    }

    /** Returns how many tasks of the step would fit on {@code node} if it were not reserved. */
    long reservedPlaces(Candidate candidate, WorkerNode node) {
        return reservedWorkers.contains(node.id())
                ? placesIn(candidate, freeByWorker.get(node.id()))
                : 0;
    }

    /** Returns the number of workers that are reserved for gangs. */
    int reservedWorkerCount() {
        return reservedWorkers.count();
    }

    /** Returns the workers that may get new tasks. */
    Collection<WorkerNode> usableWorkers() {
        return Collections.unmodifiableCollection(usableWorkers.values());
    }

    /** Returns an upper bound of the usage by runs that this leader does not know. */
    Resources maxUnknownUsage() {
        return teamUsage.maxUnknown();
    }

    /** Returns how many tasks of the step fit on {@code node} when nothing runs there. */
    static long totalPlaces(Candidate candidate, WorkerNode node) {
        return placesIn(candidate, node.listing().capacity());
    }

    private static long placesIn(Candidate candidate, Resources free) {
        return StepFit.placesIn(candidate.definition(), free);
    }

    /**
     * Returns the workers that could run the step and for whose present incarnation the advice
     * service has not answered yet.
     */
    List<WorkerNode> workersWithoutAdvice(Candidate candidate) {
        StepProgress.AdviceState advice = candidate.progress().advice();
        return usableWorkers.values().stream()
                .filter(n -> isEligible(candidate, n))
                .filter(n -> !advice.tickets().containsKey(n.id()))
                .filter(n -> !advice.isRefused(n))
                .toList();
    }

    /**
     * Allocates capacity for one task on the best worker on which it fits, if any, and returns that
     * worker. An empty {@code allowedRacks} allows all racks.
     */
    Optional<String> allocate(Candidate candidate, Set<String> allowedRacks) {
        // No run ends during a pass, so the initial maximum of free capacity stays an upper bound.
        if (!candidate.definition().chargedCapacity().fitsIn(maxFree)
                || !isWithinTeamLimit(candidate, 1)) {
            return Optional.empty();
        }
        WorkerNode best = null;
        double bestScore = Double.MAX_VALUE;
        for (WorkerNode node : runnableWorkers(candidate)) {
            boolean isInRack = allowedRacks.isEmpty() || allowedRacks.contains(rackOf(node));
            if (isInRack && fits(candidate, node)) {
                double score =
                        StepFit.score(candidate.definition(), node, freeByWorker.get(node.id()));
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

    /**
     * Allocates capacity for {@code count} tasks and returns their workers, or allocates nothing
     * and returns empty if not all of them fit. If the step prefers a single rack, one rack is used
     * where possible.
     */
    Optional<List<String>> allocateAll(Candidate candidate, int count) {
        if (candidate.definition().sameRack()) {
            Set<String> racks = new LinkedHashSet<>();
            usableWorkers.values().forEach(n -> racks.add(rackOf(n)));
            for (String allowedRacks : racks) {
                Optional<List<String>> inRack = allocateAll(candidate, count, Set.of(allowedRacks));
                if (inRack.isPresent()) {
                    return inRack;
                }
            }
        }
        return allocateAll(candidate, count, Set.of());
    }

    private Optional<List<String>> allocateAll(
            Candidate candidate, int count, Set<String> allowedRacks) {
        List<String> assignedWorkers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Optional<String> worker = allocate(candidate, allowedRacks);
            if (worker.isEmpty()) {
                assignedWorkers.forEach(w -> charge(candidate, w, -1));
                return Optional.empty();
            }
            assignedWorkers.add(worker.get());
        }
        return Optional.of(assignedWorkers);
    }

    private static String rackOf(WorkerNode node) {
        return node.listing().rack();
    }

    private boolean fits(Candidate candidate, WorkerNode node) {
        int maxPerWorker = candidate.definition().maxPerWorker();
        boolean belowMaxPerWorker =
                maxPerWorker == 0 || taskCountOn(candidate, node) < maxPerWorker;
        return belowMaxPerWorker
                && !reservedWorkers.contains(node.id())
                && candidate.definition().chargedCapacity().fitsIn(freeByWorker.get(node.id()));
    }

    /**
     * Returns the usable workers that may run the step. If advice is needed, these are among the
     * workers with a ticket, which are few.
     */
    private List<WorkerNode> runnableWorkers(Candidate candidate) {
        if (runnableWorkersCandidate != candidate) {
            Stream<WorkerNode> workers =
                    candidate.queue().advice().isEmpty()
                            ? usableWorkers.values().stream()
                            : candidate.progress().advice().tickets().keySet().stream()
                                    .map(usableWorkers::get)
                                    .filter(Objects::nonNull);
            runnableWorkers = workers.filter(n -> isEligible(candidate, n)).toList();
            runnableWorkersCandidate = candidate;
        }
        return runnableWorkers;
    }

    /** Returns how many tasks of the step are charged to {@code node}, those of this pass too. */
    private long taskCountOn(Candidate candidate, WorkerNode node) {
        long charged =
                node.charges().keySet().stream()
                        .filter(t -> t.stepKey().equals(candidate.key()))
                        .count();
        return charged
                + newTasksByStep.getOrDefault(candidate.key(), Map.of()).getOrDefault(node.id(), 0);
    }

    private void charge(Candidate candidate, String worker, int sign) {
        Resources size = candidate.definition().chargedCapacity().times(sign);
        freeByWorker.merge(worker, size, Resources::minus);
        teamUsage.add(candidate.job().team(), size);
        services.allocate(candidate.queue().service(), size);
        newTasksByStep
                .computeIfAbsent(candidate.key(), k -> new HashMap<>())
                .merge(worker, sign, Integer::sum);
    }
}
