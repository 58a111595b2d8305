/** Declarations of settings; validation, the reference and the JSON schemas derive from them. */
package org.jujubefork.config.schema;
