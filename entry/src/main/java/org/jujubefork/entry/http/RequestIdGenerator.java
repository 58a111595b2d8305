package org.jujubefork.entry.http;

import java.util.concurrent.atomic.AtomicLong;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;

/** Gives out request ids that no other entry run gives out. */
public final class RequestIdGenerator {
    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    private RequestIdGenerator(String prefix) {
        this.prefix = prefix;
    }

    /** Returns ids of the entry run {@code entry}. */
    public static RequestIdGenerator of(EntryId entry) {
        return new RequestIdGenerator(
                entry.name() + "-" + Long.toString(entry.incarnation(), Character.MAX_RADIX) + "-");
    }

    /** Returns the next id. */
    public RequestId next() {
        return RequestId.of(prefix + next.incrementAndGet());
    }
}
