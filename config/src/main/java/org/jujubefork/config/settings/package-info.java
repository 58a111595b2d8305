/** The settings of one entry daemon: its location, addresses, timeouts and limits. */
package org.jujubefork.config.settings;
