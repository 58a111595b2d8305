/** Job records, their division into shards, progress and retries. */
package org.jujubefork.core.jobs;
