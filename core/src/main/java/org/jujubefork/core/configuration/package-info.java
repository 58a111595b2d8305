/** The validated configuration of a site and its parts. */
package org.jujubefork.core.configuration;
