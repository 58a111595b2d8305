package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;

/**
 * Where a request came from, and thus where its answer is sent.
 *
 * @param request the request
 * @param forwardedBy the entry that forwarded it; empty if this entry received it from the caller
 */
public record RequestOrigin(RequestId request, Optional<EntryId> forwardedBy) {
    /** Returns the origin of a request that this entry received from the caller. */
    public static RequestOrigin local(RequestId request) {
        return new RequestOrigin(request, Optional.empty());
    }

    /** Returns the origin of a request that {@code entry} forwarded. */
    public static RequestOrigin forwarded(RequestId request, EntryId entry) {
        return new RequestOrigin(request, Optional.of(entry));
    }
}
