/**
 * Upper limits of teams, enforced by a ledger of budgets per team and shard.
 *
 * <h2>Guarantee</h2>
 *
 * <p>The total size of a team's work that runs on all workers never exceeds the team's limit. After
 * an operator lowers a limit, this holds once the owners have the new configuration in force and
 * workers have stopped the work above the limit.
 *
 * <h2>Assumptions</h2>
 *
 * <ol>
 *   <li>The ledger changes by compare-and-swap on its revision, and no write makes the sum of a
 *       team's rows larger than the limit. It is therefore enough that in each shard usage does not
 *       exceed the row.
 *   <li>A worker starts work only under the epoch that it has stored, and stores only higher
 *       epochs. Once it has granted its lease under an epoch, nothing starts on it under a lower
 *       one.
 *   <li>An owner starts work of size s only if {@code usage + charged + s} fits in the row, and the
 *       row carries its epoch. {@code usage} is all work that the owner has started or adopted and
 *       that is not known to have ended. {@code charged} is the full capacity of the workers in the
 *       shard that the owner has not acquired.
 * </ol>
 *
 * <h2>Single writer per row</h2>
 *
 * <p>Only the owner changes rows that carry its epoch. It starts work under the smallest budget in
 * the last known row and in all pending writes. It lowers a row only to a cap that it has applied
 * locally before. Usage is therefore within the row, whichever write takes effect.
 *
 * <h2>Lost write answers</h2>
 *
 * <p>A write without an answer stays pending until the store shows a higher revision than the one
 * that the write expected. A read of the same revision proves nothing, because the write may still
 * be in flight. A retry replaces the same revision, so at most one of the writes takes effect, and
 * each of them counts until the revision has changed.
 *
 * <h2>Takeover with the store</h2>
 *
 * <p>The successor raises the epoch of all rows of the shard in one write and keeps their budgets.
 * Work on the workers that the successor has acquired is part of its usage. Work that an earlier
 * owner runs or starts on the other workers is at most their capacity, which is charged. Whatever
 * the successor starts, the sum stays within the row. The charge for a worker ends when the
 * successor acquires it, or when the worker is no longer on the VM list and its lease time has
 * passed. The lease time alone is not enough: an earlier owner on the other side of a network
 * partition may continue to renew the lease.
 *
 * <h2>Takeover without the store</h2>
 *
 * <p>While the row carries another epoch, the successor starts work only up to the usage that it
 * adopted: the usage that the workers reported in answers to requests sent after the last worker
 * was acquired. At that time all earlier owners were fenced, so the work then running was within
 * the row, and the later reports show a subset of it. Before that time the adopted usage is zero,
 * because the sum of reports from different times can exceed the work that ever ran at one time.
 *
 * <h2>Paused owner that resumes and writes</h2>
 *
 * <p>If a successor has raised the epoch, the revision has changed and the write fails; the owner
 * releases the shard at the next read. If the successor could not reach the store, the write can
 * take effect. The write cannot raise the usage, because the workers reject starts under the old
 * epoch. The write can lower the row while the successor runs the usage that it adopted. A row is
 * therefore lowered to a cap only after each worker has granted a renewal that was sent after the
 * cap took effect; the capacity of the workers that have not granted such a renewal is added to the
 * cap. The takeover of each confirmed worker came later, so the usage adopted from it is within the
 * cap. After a pause, an owner starts nothing until its workers have answered, because a worker
 * that was added in the meantime would accept its epoch.
 *
 * <h2>Two claimants</h2>
 *
 * <p>Each claimant acquires some of the workers and charges the others. Let u and v be the usage of
 * the two claimants on the workers that they acquired, and c and d the capacities of these workers.
 * Each starts work only while {@code u + d}, or {@code c + v}, is within the row, so {@code u + v}
 * is within it. The row carries one of the two epochs; the holder of the lower epoch can use the
 * row only until it reads the higher epoch. The holder of the lower epoch is fenced at each worker
 * that the other claimant no longer charges.
 *
 * <h2>Lowered limits</h2>
 *
 * <p>If the sum of the rows exceeds the limit, each owner immediately caps its row at a fraction
 * that is the same for all rows not yet reduced. The fraction does not depend on the order in which
 * owners reduce their rows. Work above the cap is stopped, then the row is lowered. No row is
 * raised until the sum fits in the limit.
 *
 * <h2>Limits that are not binding</h2>
 *
 * <p>A component of a limit that is at least twice the fleet capacity is not checked: the work on a
 * worker is within the worker's capacity, so the total is within the fleet capacity. The entry uses
 * the larger of the capacity on its VM list and the capacity reported in gossip, and the factor
 * allows for workers that the entry does not know yet. Rows are recorded for such teams too. Each
 * row is at least the capacity of its shard, so that usage is within the rows if the limit is
 * lowered.
 *
 * <h2>Remaining gap</h2>
 *
 * <p>A worker that restarts loses its epoch, and a worker that is added has none. An owner that is
 * cut off from the store, from its successor and from all workers that the successor acquired can
 * reach such a worker first. The owner can then start work on this worker that the successor does
 * not count until the successor acquires the worker or finds it on the VM list.
 *
 * <h2>Write rate</h2>
 *
 * <p>An entry writes at most once a second, and not while it has no contact with the store. A team
 * whose limit covers the fleet gets the capacity of each shard with the claim, and needs no further
 * write until the shard grows. Other teams request a sixteenth of their limit beyond what they
 * require. Budget that a team does not require is released after 1 s if other shards have unmet
 * demand, and after 60 s otherwise. Leases are renewed immediately to confirm a cap, so that budget
 * moves between shards within seconds.
 */
package org.jujubefork.core.limits;
