/** Which entry owns a shard, and the epochs that fence its workers. */
package org.jujubefork.core.ownership;
