/** Running and kept answers, so that a retry under the same id joins or replays them. */
package org.goldcrestfall.daemon.answer;
