/** Decides which entry owns a shard and assigns the epochs that fence earlier owners at workers. */
package org.jujubefork.core.ownership;
