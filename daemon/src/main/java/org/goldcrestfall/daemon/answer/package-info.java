/** Running and stored answers, which a retry under the same request id joins or replays. */
package org.goldcrestfall.daemon.answer;
