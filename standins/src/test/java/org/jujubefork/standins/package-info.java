/** Stand-ins for the platform, run as processes by tests and examples. */
package org.jujubefork.standins;
