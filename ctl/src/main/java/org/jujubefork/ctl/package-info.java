/** Placeholder. */
package org.jujubefork.ctl;
