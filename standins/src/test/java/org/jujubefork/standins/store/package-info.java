/** Stand-in of the platform's key-value store. */
package org.jujubefork.standins.store;
