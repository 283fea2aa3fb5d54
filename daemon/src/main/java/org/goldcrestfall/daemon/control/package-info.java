/** The daemon's side of the control group: its members, and the client that routers use. */
package org.goldcrestfall.daemon.control;
