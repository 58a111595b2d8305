package org.jujubefork.core.workflow;

/** Decides whether a job counts as within the share of its team. */
@FunctionalInterface
interface TeamShare {
    /** Returns whether {@code job} counts as within the share of its team. */
    boolean isWithinShare(WorkflowState state, Job job);
}
