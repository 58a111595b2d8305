package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.jujubefork.core.fairshare.FairShare;
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
        PMap<String, PMap<String, Long>> waiting,
        Totals totals,
        long updatedAt,
        long loggedAt) {
    /** No team has used anything. */
    public static final TeamLedger EMPTY =
            new TeamLedger(HashTreePMap.empty(), HashTreePMap.empty(), Totals.NONE, 0, 0);

    /**
     * Upper bound of the used work as a multiple of the fair share of what runs. It bounds the time
     * for which a team stays over its share after a wide gang or a burst has ended.
     */
    static final double MAX_USED_RATIO = 2.5;

    /** Ratio above which a team is over its share; the margin covers rounding. */
    private static final double MAX_RATIO_WITHIN_SHARE = 1.01;

    /**
     * Sums over the active teams.
     *
     * @param use their projected use
     * @param weight their weights
     * @param runningMillicores the CPU allocated to their running tasks, in millicores
     */
    record Totals(double use, double weight, long runningMillicores) {
        static final Totals NONE = new Totals(0, 0, 0);
    }

    /** Returns whether the policy in force keeps the ledger and a team has a weight. */
    boolean isKept() {
        return !accounts.isEmpty();
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
        PMap<String, PMap<String, Long>> next = HashTreePMap.empty();
        Set<String> waitingTeams = new HashSet<>();
        for (Candidate candidate : candidates) {
            String service = candidate.queue().service();
            String team = candidate.job().team();
            PMap<String, Long> byTeam = next.getOrDefault(service, HashTreePMap.empty());
            long work = byTeam.getOrDefault(team, 0L) + candidate.waitingWork();
            next = next.plus(service, byTeam.plus(team, work));
            waitingTeams.add(team);
        }
        return withActive(next, waitingTeams);
    }

    private TeamLedger withActive(PMap<String, PMap<String, Long>> work, Set<String> waitingTeams) {
        PMap<String, TeamAccount> next = accounts;
        double use = 0;
        double weight = 0;
        long running = 0;
        for (Map.Entry<String, TeamAccount> teamAndAccount : accounts.entrySet()) {
            TeamAccount account = teamAndAccount.getValue();
            if (account.runningMillicores() > 0 || waitingTeams.contains(teamAndAccount.getKey())) {
                account = account.activeAt(updatedAt);
                next = next.plus(teamAndAccount.getKey(), account);
            }
            if (account.isActive(updatedAt)) {
                use += account.projectedUse();
                weight += account.weight();
                running += account.runningMillicores();
            }
        }
        return new TeamLedger(next, work, new Totals(use, weight, running), updatedAt, loggedAt);
    }

    /** Returns a copy in which {@code millicores} are allocated to {@code team}. */
    TeamLedger withRunning(String team, long millicores) {
        TeamAccount account = accounts.get(team);
        if (account == null || account.runningMillicores() == millicores) {
            return this;
        }
        TeamAccount next = account.withRunning(millicores);
        Totals nextTotals =
                new Totals(
                        totals.use() + next.projectedUse() - account.projectedUse(),
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
        TeamAccount account = accounts.get(team);
        return account == null || totals.use() <= 0
                ? 0
                : new FairShare(totals.weight())
                        .shareRatio(account.projectedUse() / totals.use(), account.weight());
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
        for (String other : waiting.getOrDefault(service, HashTreePMap.empty()).keySet()) {
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
        long work = waiting.getOrDefault(service, HashTreePMap.empty()).getOrDefault(team, 0L);
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
