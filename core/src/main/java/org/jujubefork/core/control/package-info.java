/** The control state of an entry and the reducer that applies events to it. */
package org.jujubefork.core.control;
