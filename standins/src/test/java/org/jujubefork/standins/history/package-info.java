/** Recorded histories: one JSON line for each event that a stand-in saw. */
package org.jujubefork.standins.history;
