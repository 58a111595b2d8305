/**
 * An emulator of the users' platform for one leader: workers, store, advice service and callers in
 * simulated time, with the real reducer. It measures what the decisions of a leader cost and how
 * long jobs wait at a given size of the fleet.
 */
package org.jujubefork.bench.workflow;
