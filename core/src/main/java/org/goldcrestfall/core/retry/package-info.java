/** Retries within a budget, and ejection of failing upstreams. */
package org.goldcrestfall.core.retry;
