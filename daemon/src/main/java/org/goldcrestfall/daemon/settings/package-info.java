/** The settings file of the daemon, which is validated as a whole before the daemon starts. */
package org.goldcrestfall.daemon.settings;
