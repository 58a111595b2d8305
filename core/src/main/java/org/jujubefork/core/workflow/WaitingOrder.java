package org.jujubefork.core.workflow;

import java.util.Comparator;
import org.jujubefork.core.workflow.Placement.Candidate;

/** The order in which steps that wait for capacity are served; the lesser step is first. */
@FunctionalInterface
interface WaitingOrder extends Comparator<Candidate> {}
