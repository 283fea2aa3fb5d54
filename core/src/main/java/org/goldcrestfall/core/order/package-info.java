/** Decides when the leader sends queued orders to engines. */
package org.goldcrestfall.core.order;
