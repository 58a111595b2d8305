/** The configuration of a cell: base file and overlays, checked, merged, compared and stored. */
package org.jujubefork.config.cell;
