/** Work queues, placement policies, running tasks and worker health of a shard. */
package org.jujubefork.core.placement;
