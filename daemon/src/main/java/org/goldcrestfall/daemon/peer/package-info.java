/** Runs membership, upstream dissemination and configuration over the peer transport. */
package org.goldcrestfall.daemon.peer;
