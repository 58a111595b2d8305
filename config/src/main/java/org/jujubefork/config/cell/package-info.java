/** Validation, merging, comparison and encoding of cell configurations: base file and overlays. */
package org.jujubefork.config.cell;
