/**
 * Upper limits of teams, kept by a ledger of budgets per team and shard.
 *
 * <h2>Claim</h2>
 *
 * <p>The sizes of a team's work that runs on all workers never add up to more than its limit.
 * (After an operator lowers a limit, this holds once the change is in force at the owners and
 * workers have stopped what is above it.)
 *
 * <h2>What it rests on</h2>
 *
 * <ol>
 *   <li>The ledger changes by compare-and-swap on its revision, and no write makes the sum of a
 *       team's rows larger than the limit. So it is enough that in each shard no more runs than the
 *       row says.
 *   <li>A worker starts work only under the epoch that it keeps, and keeps only higher ones. Once
 *       it has granted its lease under an epoch, nothing starts there under a lower one.
 *   <li>An owner starts work of size s only if {@code usage + charged + s} fits in the row, and the
 *       row carries its epoch. {@code usage} is all that it has started or adopted and that is not
 *       known to have ended. {@code charged} is the full capacity of the shard's workers that it
 *       has not acquired.
 * </ol>
 *
 * <h2>One owner at a time</h2>
 *
 * <p>Only the owner changes rows that carry its epoch. It starts work under the smaller of the
 * known row and of all writes that may stand, and lowers a row only to a cap that it has kept
 * locally before. Usage is therefore within the row, whichever write stands.
 *
 * <h2>Lost write answers</h2>
 *
 * <p>A write without an answer stays pending until the store shows a higher revision than the one
 * it expected. A read of the same revision proves nothing, because the write may still be under
 * way. A retry replaces the same revision, so at most one of the writes takes effect, and each of
 * them is counted until the revision has moved on.
 *
 * <h2>Takeover with the store</h2>
 *
 * <p>The successor raises the epoch of all rows of the shard in one write and keeps their budgets.
 * What runs on workers that it has acquired is in its usage; what an earlier owner runs or starts
 * on the others is at most their capacity, which is charged. Their sum stays within the row for
 * whatever the successor starts. The charge ends when the worker is acquired, or when the worker is
 * off the VM list and the lease time has passed. It does not end with the lease time alone: an
 * earlier owner on the other side of a network partition goes on renewing the lease.
 *
 * <h2>Takeover without the store</h2>
 *
 * <p>While the row carries another epoch, the successor starts work only up to the usage that it
 * adopted: what the workers reported in answers to requests that were sent after the last worker
 * had been acquired. At that moment all earlier owners were fenced, so what ran then was within the
 * row, and the later reports show a part of it. Before that moment the adopted usage is zero,
 * because the sum of reports from different times can exceed what ever ran at once.
 *
 * <h2>Frozen owner that resumes and writes</h2>
 *
 * <p>If a successor has raised the epoch, the revision has changed and the write fails; at the next
 * read the owner steps down. If the successor could not reach the store, the write can take effect.
 * It cannot raise the usage: starts are refused by the workers. It can lower the row, and the
 * successor may run what it adopted. The row is lowered only to a cap after each worker has granted
 * a renewal that was sent after the cap came into force, with the capacity of other workers added.
 * The takeover of each such worker came later, so what was adopted is within the cap. After a
 * pause, an owner starts nothing until its workers have answered, because a worker that was added
 * meanwhile would accept its epoch.
 *
 * <h2>Two claimants</h2>
 *
 * <p>Both acquire some workers, and each charges the others. Let u and v be what they run on their
 * parts, and c and d the capacities of these parts. Each starts work only while {@code u + d}, or
 * {@code c + v}, is within the row, so {@code u + v} is within it. The row carries one of the
 * epochs; the holder of the lower one can use it only until it reads the other one. It is fenced at
 * each worker that the other one no longer charges.
 *
 * <h2>Lowered limits</h2>
 *
 * <p>If the rows add up to more than the limit, each owner caps itself at once at a fraction that
 * is the same for all rows not yet reduced. The fraction does not depend on the order in which
 * owners reduce their rows. Work above the cap is stopped, then the row is lowered. No row is
 * raised until the sum fits.
 *
 * <h2>Limits that cannot bind</h2>
 *
 * <p>A component of a limit that is at least twice what the fleet holds is not checked: what runs
 * on a worker is within its capacity, so the sum is within what the fleet holds. The entry takes
 * the larger of the capacity on its VM list and that in gossip, and the factor covers what it has
 * not heard of. Rows are kept for such teams too, and are at least the capacity of their shard, so
 * that what runs is within them when the limit is lowered.
 *
 * <h2>Limits of the argument</h2>
 *
 * <p>A worker that restarts forgets its epoch, and a worker that is added keeps none. An owner that
 * is cut off from the store, from its successor and from all workers that the successor acquired,
 * but reaches such a worker first, can start work there that the successor does not count until it
 * acquires the worker or lists it.
 *
 * <h2>Writes</h2>
 *
 * <p>An entry writes at most once a second, and not while it has no contact with the store. A team
 * whose limit covers the fleet gets the capacity of each shard with the claim, and needs no write
 * after that until the shard grows. Other teams ask for a sixteenth of their limit beyond their
 * need, and give back what they do not need after 1 s if others wait for it, or after 60 s. The
 * leases are renewed at once to confirm a cap, so that budget moves between shards within seconds.
 */
package org.jujubefork.core.limits;
