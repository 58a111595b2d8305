package org.jujubefork.entry.http;

import java.util.concurrent.atomic.AtomicLong;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;

/** Generates request ids that are unique across entries and their incarnations. */
public final class RequestIdGenerator {
    private final String prefix;
    private final AtomicLong lastNumber = new AtomicLong();

    private RequestIdGenerator(String prefix) {
        this.prefix = prefix;
    }

    /**
     * Returns a generator for the incarnation {@code entry}. Two generators of the same incarnation
     * would return the same ids.
     */
    public static RequestIdGenerator of(EntryId entry) {
        return new RequestIdGenerator(
                entry.name() + "-" + Long.toString(entry.incarnation(), Character.MAX_RADIX) + "-");
    }

    /** Returns an id that was not returned before; may be called by any thread. */
    public RequestId next() {
        return RequestId.of(prefix + lastNumber.incrementAndGet());
    }
}
