/** The data folder: log segments, snapshots and small files that are replaced atomically. */
package org.goldcrestfall.daemon.storage;
