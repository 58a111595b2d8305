package org.jujubefork.entry.workflow;

import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jujubefork.core.workflow.LeaderRecord;

/**
 * The term in which this entry is the leader. Threads that may work only while this entry leads
 * wait here until it does.
 */
final class OwnTerm {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition leaderChanged = lock.newCondition();
    private volatile Optional<LeaderRecord> leader = Optional.empty();

    /** Sets the record of this entry's term, or empty if this entry does not lead. */
    void set(Optional<LeaderRecord> newLeader) {
        lock.lock();
        try {
            leader = newLeader;
            leaderChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether this entry is the leader. */
    boolean isLeading() {
        return leader.isPresent();
    }

    /** Returns whether this entry still leads in the term of {@code record}. */
    boolean matches(LeaderRecord record) {
        return leader.isPresent() && leader.get().equals(record);
    }

    /** Waits until this entry leads, and returns the record of its term. */
    LeaderRecord awaitLeadership() throws InterruptedException {
        lock.lock();
        try {
            while (leader.isEmpty()) {
                leaderChanged.await();
            }
            return leader.get();
        } finally {
            lock.unlock();
        }
    }
}
