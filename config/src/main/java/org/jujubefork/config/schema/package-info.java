/** Declarations of settings, from which the readers, the reference and the JSON schema are made. */
package org.jujubefork.config.schema;
