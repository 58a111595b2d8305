/** An in-memory cluster of entries that run the reducer, with fake workers and a fake store. */
package org.jujubefork.core.testing;
