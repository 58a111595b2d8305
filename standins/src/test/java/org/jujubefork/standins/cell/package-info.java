/** A whole cell on loopback addresses: stand-ins, entries, faults and callers. */
package org.jujubefork.standins.cell;
