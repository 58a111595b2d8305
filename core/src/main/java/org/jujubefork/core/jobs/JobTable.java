package org.jujubefork.core.jobs;

import org.jujubefork.core.model.JobId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The jobs of the cell, as read from the store.
 *
 * @param records records by job
 */
public record JobTable(PSortedMap<JobId, StoredJob> records) {
    /** No jobs. */
    public static final JobTable EMPTY = new JobTable(TreePMap.empty());
}
