/** The leader's decision when to send which order to an engine. */
package org.goldcrestfall.core.order;
