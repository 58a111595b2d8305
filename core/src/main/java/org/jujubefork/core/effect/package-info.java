/** Outputs of the reducer: everything that an entry is to do, as data. */
package org.jujubefork.core.effect;
