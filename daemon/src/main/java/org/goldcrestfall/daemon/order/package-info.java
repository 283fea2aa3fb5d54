/** Orders to engines, sent by the leader of the control group. */
package org.goldcrestfall.daemon.order;
