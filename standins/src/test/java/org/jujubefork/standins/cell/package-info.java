/** Complete test cells on loopback addresses: simulated services, entries, faults and callers. */
package org.jujubefork.standins.cell;
