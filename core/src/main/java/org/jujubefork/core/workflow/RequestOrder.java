package org.jujubefork.core.workflow;

import java.util.Comparator;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;

/** The order in which queued advice requests are sent; the lesser request is first. */
@FunctionalInterface
interface RequestOrder {
    /** Returns the order at {@code now}, in milliseconds of the monotonic clock. */
    Comparator<AdviceRequest> at(long now);
}
