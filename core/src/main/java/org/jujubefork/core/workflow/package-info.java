/**
 * Scheduling of multi-step jobs on a pool of workers without a dedicated control VM: one entry at a
 * time is the leader, places tasks on the workers and keeps the jobs in the platform's store.
 *
 * <p>A job runs its steps once, or several times on a schedule; each repetition is an occurrence. A
 * step has tasks, and each start of a task is a run with a unique number within the task. An
 * external advice service may decide which workers may run a step; it grants a ticket for each such
 * worker.
 *
 * <p>{@link org.jujubefork.core.workflow.WorkflowReducer} is the only place where the scheduling
 * state changes; all values are immutable, and effects are data.
 */
package org.jujubefork.core.workflow;
