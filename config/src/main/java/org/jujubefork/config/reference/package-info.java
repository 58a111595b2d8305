/** Generates the settings reference in Markdown and the JSON schemas from the declarations. */
package org.jujubefork.config.reference;
