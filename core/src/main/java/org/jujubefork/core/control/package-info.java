/** The control state of an entry and the one reducer over it. */
package org.jujubefork.core.control;
