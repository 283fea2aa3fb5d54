/** Keeps a router's copy of the configuration up to date and never reverts it. */
package org.goldcrestfall.core.config;
