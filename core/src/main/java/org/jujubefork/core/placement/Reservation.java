package org.jujubefork.core.placement;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.WorkerId;
import org.pcollections.PSortedMap;

/**
 * Workers that are kept for a gang which has waited long.
 *
 * @param position where the gang waits
 * @param job the gang's job
 * @param createdAtMillis when it was made
 * @param tasksByWorker how many of its tasks each worker is to take
 */
public record Reservation(
        WorkQueue.Position position,
        JobId job,
        long createdAtMillis,
        PSortedMap<WorkerId, Integer> tasksByWorker) {}
