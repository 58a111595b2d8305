/** Outputs of the reducer: the actions that an entry must carry out, as data. */
package org.jujubefork.core.effect;
