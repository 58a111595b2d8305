/** Queues, placement policies, running tasks and worker health within a shard. */
package org.jujubefork.core.placement;
