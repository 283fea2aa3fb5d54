/** Durable storage of a control member: log segments, snapshots and atomically replaced files. */
package org.goldcrestfall.daemon.storage;
