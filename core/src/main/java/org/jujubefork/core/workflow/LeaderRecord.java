package org.jujubefork.core.workflow;

/**
 * The store's record of who leads.
 *
 * @param entry the name of the leading entry
 * @param address where other entries reach it, host and port
 * @param term rises by one with each leader
 * @param revision the revision of the record in the store; workers keep it as the fencing token
 * @param leaseValid whether the leader's lease in the store has not ended
 */
public record LeaderRecord(
        String entry, String address, long term, long revision, boolean leaseValid) {}
