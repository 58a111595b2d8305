package org.jujubefork.core.explain;

import org.jujubefork.core.jobs.JobRecord;
import org.pcollections.PVector;

/**
 * The current state of a job.
 *
 * @param record the job record, with all task completions that this entry knows
 * @param durable whether the store has confirmed all of {@code record}
 * @param parts the state of the job's part in each shard
 */
public record JobExplanation(
        JobRecord record, boolean durable, PVector<JobPartExplanation> parts) {}
