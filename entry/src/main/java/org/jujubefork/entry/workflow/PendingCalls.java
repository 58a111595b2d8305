package org.jujubefork.entry.workflow;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;

/** The receivers of the answers to calls that the control thread has not answered yet. */
final class PendingCalls {
    private final AtomicLong nextId = new AtomicLong(1);
    private final ConcurrentMap<Long, Consumer<Reply>> receivers = new ConcurrentHashMap<>();

    /**
     * Adds a call whose answer goes to {@code receiver}, and returns the identifier of the call.
     */
    long add(Consumer<Reply> receiver) {
        long id = nextId.getAndIncrement();
        receivers.put(id, receiver);
        return id;
    }

    /** Passes {@code reply} to the receiver of the call {@code id}; later replies are ignored. */
    void complete(long id, Reply reply) {
        Consumer<Reply> receiver = receivers.remove(id);
        if (receiver != null) {
            receiver.accept(reply);
        }
    }
}
