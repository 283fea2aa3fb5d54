/** The control group: members that replicate the control state by consensus, and their clients. */
package org.goldcrestfall.daemon.control;
