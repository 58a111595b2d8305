package org.jujubefork.bench;

import java.util.List;

/**
 * The work of six teams on 30 workers in three shards, after the workloads of one user.
 *
 * @param name the user
 * @param weights weights of the teams
 * @param lateTeams teams that submit batch work only from {@link #LATE_START_MILLIS}; until then
 *     the others borrow their part
 * @param lookupsPerSecond requests of all teams
 * @param urgentFraction the part of them that is urgent
 * @param meanBatchTaskMillis mean run time of a batch task
 * @param gangsPerMinute gang jobs of all teams
 * @param gangTasks tasks of a gang job
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

    /** Rebuild and lookups: short batch tasks, more requests and gangs. */
    static final Workload ALPENQUELL =
            new Workload("alpenquell", List.of(3, 3, 2, 2, 1, 1), 2, 120, 0.7, 40_000, 1.5, 6);

    /** When the late teams start; long enough for the others to fill the fleet. */
    static final long LATE_START_MILLIS = 300_000;

    /** When measuring starts; the late teams have got back capacity by then or wait for it. */
    static final long MEASURE_FROM_MILLIS = 420_000;

    /** When the run ends. */
    static final long END_MILLIS = 1_200_000;
}
