/** The daemon {@code goldcrestfalld}: start, wiring and shutdown. */
package org.goldcrestfall.daemon;
