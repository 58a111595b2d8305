package org.jujubefork.core.placement;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.WorkerId;
import org.pcollections.PSortedMap;

/**
 * Workers reserved for a gang that has waited long.
 *
 * @param position the position of the gang in the queue
 * @param job the job of the gang
 * @param createdAtMillis when the reservation was made
 * @param tasksByWorker how many tasks of the gang each worker is to run
 */
public record Reservation(
        WorkQueue.Position position,
        JobId job,
        long createdAtMillis,
        PSortedMap<WorkerId, Integer> tasksByWorker) {}
