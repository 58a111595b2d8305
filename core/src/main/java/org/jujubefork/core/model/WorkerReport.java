package org.jujubefork.core.model;

import org.pcollections.PVector;

/**
 * What a worker says of itself when its lease is granted or renewed.
 *
 * @param incarnation changes when the worker restarts; its tasks are then gone
 * @param leaving whether the worker takes no new work
 * @param capacity what the worker holds in all
 * @param slots how many requests it serves at a time
 * @param running tasks that run now
 * @param ended tasks that ended and have not been acknowledged
 */
public record WorkerReport(
        long incarnation,
        boolean leaving,
        Resources capacity,
        int slots,
        PVector<ReportedTask> running,
        PVector<EndedTask> ended) {}
