package org.jujubefork.entry.workflow;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;

/** The calls that the control thread has not answered yet. */
final class PendingCalls {
    private final AtomicLong nextId = new AtomicLong(1);
    private final ConcurrentMap<Long, Consumer<Reply>> open = new ConcurrentHashMap<>();

    /** Returns the number of a new call whose answer goes to {@code receiver}. */
    long receivers(Consumer<Reply> receiver) {
        long id = nextId.getAndIncrement();
        open.put(id, receiver);
        return id;
    }

    /** Hands {@code reply} to the receiver of the call {@code id}, once. */
    void complete(long id, Reply reply) {
        Consumer<Reply> receiver = open.remove(id);
        if (receiver != null) {
            receiver.accept(reply);
        }
    }
}
