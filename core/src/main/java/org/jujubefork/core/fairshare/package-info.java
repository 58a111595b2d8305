/**
 * The fair share of teams in proportion to their weights, and the orders that follow from it. The
 * scheduler of a cell and the placement of workflows both use it.
 */
package org.jujubefork.core.fairshare;
