package org.jujubefork.entry.workflow;

import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jujubefork.core.workflow.LeaderRecord;

/** The term that this entry leads in, for threads that only work while it leads. */
final class OwnTerm {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private volatile Optional<LeaderRecord> leader = Optional.empty();

    /** Sets the term; empty when this entry does not lead. */
    void set(Optional<LeaderRecord> newLeader) {
        lock.lock();
        try {
            leader = newLeader;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether this entry leads. */
    boolean isLeading() {
        return leader.isPresent();
    }

    /** Returns whether {@code record} is the term that this entry leads in. */
    boolean matches(LeaderRecord record) {
        return leader.isPresent() && leader.get().equals(record);
    }

    /** Waits until this entry leads and returns its record. */
    LeaderRecord awaitLeadership() throws InterruptedException {
        lock.lock();
        try {
            while (leader.isEmpty()) {
                changed.await();
            }
            return leader.get();
        } finally {
            lock.unlock();
        }
    }
}
