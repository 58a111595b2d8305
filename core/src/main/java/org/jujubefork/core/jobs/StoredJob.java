package org.jujubefork.core.jobs;

/**
 * A job record with its revision in the store.
 *
 * @param revision the revision of the record, for compare-and-swap
 * @param record the record as stored
 */
public record StoredJob(long revision, JobRecord record) {}
