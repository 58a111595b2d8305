/** Benchmarks of the reducer and simulations that compare scheduling policies. */
package org.jujubefork.bench;
