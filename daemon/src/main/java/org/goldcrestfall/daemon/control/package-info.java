/** The control group: runs the replicated log over disk and network, and gives access to it. */
package org.goldcrestfall.daemon.control;
