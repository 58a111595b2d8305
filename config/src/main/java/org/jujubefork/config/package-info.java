/** Settings files: read with all findings, merged, compared, edited in place and documented. */
package org.jujubefork.config;
