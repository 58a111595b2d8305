/** The control thread, which runs the reducer, and the interfaces that pass events and effects. */
package org.jujubefork.entry.control;
