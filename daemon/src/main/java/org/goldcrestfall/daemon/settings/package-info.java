/** The settings file of the daemon and its complete check before anything starts. */
package org.goldcrestfall.daemon.settings;
