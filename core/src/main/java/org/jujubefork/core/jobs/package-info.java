/** Jobs: submission, assignment of tasks to shards, queueing, retries and stored records. */
package org.jujubefork.core.jobs;
