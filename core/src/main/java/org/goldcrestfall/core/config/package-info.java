/** The router's side of the configuration: learns of newer revisions and never goes back. */
package org.goldcrestfall.core.config;
