package org.jujubefork.core.explain;

import org.jujubefork.core.jobs.JobRecord;
import org.pcollections.PVector;

/**
 * How a job stands.
 *
 * @param record the job with the ends that this entry knows of
 * @param durable whether the store is known to hold all of {@code record}
 * @param parts how it stands in each shard
 */
public record JobExplanation(
        JobRecord record, boolean durable, PVector<JobPartExplanation> parts) {}
