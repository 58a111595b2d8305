package org.jujubefork.core.model;

import org.pcollections.PVector;

/**
 * The state of a worker, as reported when it grants or renews its lease.
 *
 * @param incarnation changes when the worker restarts, which ends all its tasks
 * @param leaving whether the worker accepts no new work because it is about to leave
 * @param capacity total capacity of the worker
 * @param slots maximum number of concurrent requests
 * @param running tasks that are running
 * @param ended tasks that have ended and are not yet acknowledged by the owner
 */
public record WorkerReport(
        long incarnation,
        boolean leaving,
        Resources capacity,
        int slots,
        PVector<ReportedTask> running,
        PVector<EndedTask> ended) {}
