package org.jujubefork.bench;

import java.util.List;

/**
 * The load of six teams on 30 workers in three shards, modelled on a client account.
 *
 * @param name the client account
 * @param weights fair-share weights of the teams
 * @param lateTeams number of teams, the last ones, that submit batch work only from {@link
 *     #LATE_START_MILLIS} on; until then the other teams borrow their shares
 * @param lookupsPerSecond mean request rate of all teams
 * @param urgentFraction the fraction of requests that are urgent, from 0 to 1
 * @param meanBatchTaskMillis mean run time of a batch task, in milliseconds
 * @param gangsPerMinute mean rate of gang jobs of all teams
 * @param gangTasks number of tasks in a gang job
 */
record Workload(
        String name,
        List<Integer> weights,
        int lateTeams,
        double lookupsPerSecond,
        double urgentFraction,
        long meanBatchTaskMillis,
        double gangsPerMinute,
        int gangTasks) {
    /** Monthly rebalancing: long batch tasks of many teams, few requests. */
    static final Workload PLOTSHARE =
            new Workload("plotshare", List.of(4, 3, 2, 1, 1, 1), 3, 30, 0.5, 120_000, 0.5, 8);

    /** Rebuilds and lookups: short batch tasks, more requests and more gangs. */
    static final Workload ALPENQUELL =
            new Workload("alpenquell", List.of(3, 3, 2, 2, 1, 1), 2, 120, 0.7, 40_000, 1.5, 6);

    /** Start of the late teams; by then the other teams have filled the fleet. */
    static final long LATE_START_MILLIS = 300_000;

    /** Start of the measurements; by then the late teams have reclaimed capacity or wait for it. */
    static final long MEASURE_FROM_MILLIS = 420_000;

    /** End of the run. */
    static final long END_MILLIS = 1_200_000;
}
