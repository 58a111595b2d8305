package org.jujubefork.core.workflow;

/**
 * The record in the store that names the leader.
 *
 * @param entry the name of the leading entry
 * @param address the host and port at which other entries reach it
 * @param term the number of the term, one higher for each new leader
 * @param revision the store revision of the record, which workers check as the fencing token
 * @param leaseValid whether the leader's lease in the store has not expired
 */
public record LeaderRecord(
        String entry, String address, long term, long revision, boolean leaseValid) {}
