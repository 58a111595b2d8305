package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import org.jujubefork.core.fairshare.FairShare;
import org.jujubefork.core.fairshare.QueueOrder;
import org.jujubefork.core.fairshare.QueueOrders;
import org.jujubefork.core.workflow.Placement.Candidate;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The work that each team has used recently and has waiting, as the basis of its fair share. The
 * leader keeps it in memory; a new leader starts with an empty ledger. Work is measured in
 * millicores times milliseconds.
 *
 * <p>The fair share of a team is proportional to its weight among the active teams. A team without
 * a weight has no account and no share.
 *
 * @param accounts the accounts by team; empty if the policy in force keeps no ledger
 * @param waiting the work that waits, by service and team
 * @param totals the sums over the active teams
 * @param updatedAt when the used work was computed, in milliseconds of the monotonic clock
 * @param loggedAt when the last log line about teams over their share was written
 */
public record TeamLedger(
        PMap<String, TeamAccount> accounts,
        Map<String, Map<String, Long>> waiting,
        Totals totals,
        long updatedAt,
        long loggedAt) {
    /** No team has used anything. */
    public static final TeamLedger EMPTY =
            new TeamLedger(HashTreePMap.empty(), Map.of(), Totals.NONE, 0, 0);

    /**
     * Upper bound of the used work as a multiple of the fair share of what runs. It bounds the time
     * for which a team stays over its share after a wide gang or a burst has ended.
     */
    static final double MAX_USED_RATIO = 2.5;

    private static final QueueOrder.TeamView UNUSED_VIEW = new QueueOrder.TeamView(0, 0, 0, 0);

    /**
     * Ratio above which a team is over its share. The margin covers the random arrivals of a team
     * that stays within its share on average; without it, such a team yields at each of its peaks.
     */
    private static final double MAX_RATIO_WITHIN_SHARE = 1.25;

    /** Makes the map of the waiting work unmodifiable. */
    public TeamLedger {
        waiting = Collections.unmodifiableMap(waiting);
    }

    /**
     * Sums over the active teams.
     *
     * @param use their projected use
     * @param load their projected use and waiting work
     * @param weight their weights
     * @param runningMillicores the CPU allocated to their running tasks, in millicores
     */
    public record Totals(double use, double load, double weight, long runningMillicores) {
        static final Totals NONE = new Totals(0, 0, 0, 0);

        private Totals plus(TeamAccount account) {
            return new Totals(
                    use + account.projectedUse(),
                    load + account.projectedLoad(),
                    weight + account.weight(),
                    runningMillicores + account.runningMillicores());
        }
    }

    /** Returns whether the policy in force keeps the ledger and a team has a weight. */
    boolean isKept() {
        return !accounts.isEmpty();
    }

    /** Returns the ledger at the start of a placement pass that is to place {@code candidates}. */
    static TeamLedger advanced(
            WorkflowState state, PassCapacity capacity, List<Candidate> candidates) {
        return state.teamLedger()
                .advancedTo(
                        state.now(),
                        state.configuration().map(CellConfiguration::teams).orElse(List.of()),
                        team -> capacity.teamUsage().of(team).cpuMillis(),
                        candidates.stream().filter(capacity::mayFit).toList());
    }

    /**
     * Returns the ledger at {@code now}, after the present allocations have been in use since the
     * last update. At most one tick is counted, so that a pause of the process does not count.
     *
     * @param teams the teams of the newest configuration
     * @param runningMillicores returns the CPU allocated to a team
     * @param candidates the steps that wait and may fit into the free capacity
     */
    TeamLedger advancedTo(
            long now,
            List<CellConfiguration.Team> teams,
            ToLongFunction<String> runningMillicores,
            List<Candidate> candidates) {
        long interval = Math.clamp(now - updatedAt, 0, WorkflowLimits.LEADER_TICK_MILLIS);
        PMap<String, TeamAccount> next = HashTreePMap.empty();
        for (CellConfiguration.Team team : teams) {
            if (team.weight() > 0) {
                TeamAccount account = accounts.getOrDefault(team.name(), TeamAccount.UNUSED);
                long running = runningMillicores.applyAsLong(team.name());
                double maxUsed = MAX_USED_RATIO * fairSteadyWork(team.weight());
                next =
                        next.plus(
                                team.name(),
                                account.advanced(team.weight(), running, interval)
                                        .withUsedAtMost(maxUsed));
            }
        }
        return new TeamLedger(next, waiting, totals, now, loggedAt).withWaiting(candidates);
    }

    /**
     * Returns the used work of a team of {@code weight} that has always had its fair share of what
     * runs now.
     */
    private double fairSteadyWork(double weight) {
        return TeamAccount.steadyWork(totals.runningMillicores() * entitledFraction(weight));
    }

    /** Returns the fraction of the use to which a team of {@code weight} is entitled, at most 1. */
    private double entitledFraction(double weight) {
        double totalWeight = Math.max(totals.weight(), weight);
        return weight * new FairShare(totalWeight).entitledWeightedShare();
    }

    /** Returns a copy in which {@code candidates} are the waiting steps. */
    TeamLedger withWaiting(List<Candidate> candidates) {
        if (!isKept()) {
            return this;
        }
        Map<String, Map<String, Long>> byService = new HashMap<>();
        Map<String, Long> byTeam = new HashMap<>();
        for (Candidate candidate : candidates) {
            String team = candidate.job().team();
            byService
                    .computeIfAbsent(candidate.queue().service(), s -> new HashMap<>())
                    .merge(team, candidate.waitingWork(), Long::sum);
            byTeam.merge(team, candidate.waitingWork(), Long::sum);
        }
        return withWaiting(byService, byTeam);
    }

    private TeamLedger withWaiting(
            Map<String, Map<String, Long>> byService, Map<String, Long> byTeam) {
        PMap<String, TeamAccount> next = HashTreePMap.empty();
        Totals sum = Totals.NONE;
        for (Map.Entry<String, TeamAccount> teamAndAccount : accounts.entrySet()) {
            String team = teamAndAccount.getKey();
            TeamAccount account =
                    teamAndAccount.getValue().withWaiting(byTeam.getOrDefault(team, 0L), updatedAt);
            next = next.plus(team, account);
            if (account.isActive(updatedAt)) {
                sum = sum.plus(account);
            }
        }
        return new TeamLedger(next, byService, sum, updatedAt, loggedAt);
    }

    /** Returns a copy in which {@code millicores} are allocated to {@code team}. */
    TeamLedger withRunning(String team, long millicores) {
        TeamAccount account = accounts.get(team);
        if (account == null || account.runningMillicores() == millicores) {
            return this;
        }
        TeamAccount next = account.withRunning(millicores);
        double addedUse = next.projectedUse() - account.projectedUse();
        Totals nextTotals =
                new Totals(
                        totals.use() + addedUse,
                        totals.load() + addedUse,
                        totals.weight(),
                        totals.runningMillicores() + millicores - account.runningMillicores());
        return new TeamLedger(accounts.plus(team, next), waiting, nextTotals, updatedAt, loggedAt);
    }

    /** Returns a copy whose last log line was written at {@code at}. */
    TeamLedger withLoggedAt(long at) {
        return new TeamLedger(accounts, waiting, totals, updatedAt, at);
    }

    /**
     * Returns the ratio of the use of {@code team} to its fair share; 0 if it has used nothing or
     * has no weight.
     */
    public double shareRatio(String team) {
        return view(team, TeamAccount::projectedUse, totals.use()).shareRatio();
    }

    /**
     * Returns the ratio of the use and the waiting work of {@code team} to its fair share of those
     * of all teams; 0 if it has neither or has no weight.
     */
    double loadRatio(String team) {
        return view(team, TeamAccount::projectedLoad, totals.load()).shareRatio();
    }

    /**
     * Returns the rank of {@code team} in the weighted fair order; the lowest goes first. Waiting
     * work counts, so that a team with a long burst goes after one that is just over its share.
     */
    double rank(String team) {
        return QueueOrders.WEIGHTED_FAIR.rank(
                view(team, TeamAccount::projectedLoad, totals.load()));
    }

    private QueueOrder.TeamView view(
            String team, ToDoubleFunction<TeamAccount> amount, double total) {
        TeamAccount account = accounts.get(team);
        return account == null || total <= 0
                ? UNUSED_VIEW
                : new FairShare(totals.weight())
                        .view(
                                amount.applyAsDouble(account) / total,
                                account.weight(),
                                updatedAt,
                                updatedAt);
    }

    /** Returns whether {@code team} uses more than its share. */
    boolean isOverShare(String team) {
        return shareRatio(team) > MAX_RATIO_WITHIN_SHARE;
    }

    /** Returns whether work of another team than {@code team} waits for {@code service}. */
    boolean isAwaitedByOther(String service, String team) {
        return anyOtherWaits(service, team, t -> true);
    }

    /** Returns whether work of another team that is below its share waits for {@code service}. */
    boolean isAwaitedBelowShare(String service, String team) {
        return anyOtherWaits(service, team, t -> shareRatio(t) < 1);
    }

    private boolean anyOtherWaits(String service, String team, Predicate<String> condition) {
        for (String other : waiting.getOrDefault(service, Map.of()).keySet()) {
            if (!other.equals(team) && condition.test(other)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns how long {@code team} needs for its own work that waits for {@code service}, in
     * milliseconds, at the larger of its fair share and its present allocation.
     */
    long ownWaitMillis(String service, String team) {
        TeamAccount account = accounts.get(team);
        if (account == null) {
            return 0;
        }
        long work = waiting.getOrDefault(service, Map.of()).getOrDefault(team, 0L);
        double fairMillicores = totals.runningMillicores() * entitledFraction(account.weight());
        double millicores = Math.max(fairMillicores, account.runningMillicores());
        return millicores <= 0 ? 0 : (long) (work / millicores);
    }

    /** Returns the teams over their share, sorted. */
    List<String> teamsOverShare() {
        List<String> teams = new ArrayList<>();
        accounts.keySet().stream().filter(this::isOverShare).sorted().forEach(teams::add);
        return teams;
    }
}
