/** The settings of one entry daemon: where it stands, whom it talks to, its times and limits. */
package org.jujubefork.config.settings;
