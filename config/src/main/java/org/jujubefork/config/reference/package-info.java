/** The reference of all settings as Markdown and as JSON schemas, made from the declarations. */
package org.jujubefork.config.reference;
