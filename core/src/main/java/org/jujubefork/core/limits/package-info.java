/** Upper limits of teams, kept by a ledger of budgets per team and shard. */
package org.jujubefork.core.limits;
