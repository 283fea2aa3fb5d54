/** Log output of the daemon. */
package org.goldcrestfall.daemon.log;
