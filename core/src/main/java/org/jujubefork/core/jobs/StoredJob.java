package org.jujubefork.core.jobs;

/**
 * A job record with its revision in the store.
 *
 * @param revision the revision
 * @param record the record
 */
public record StoredJob(long revision, JobRecord record) {}
