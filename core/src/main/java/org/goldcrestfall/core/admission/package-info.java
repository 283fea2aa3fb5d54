/**
 * Admission control: a queue that dispatches earliest deadline first within the reserved shares of
 * patience classes, and refuses early what cannot meet its deadline.
 */
package org.goldcrestfall.core.admission;
