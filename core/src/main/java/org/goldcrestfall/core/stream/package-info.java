/** Assembly of streamed answers, their storage for retries, and the placement of their records. */
package org.goldcrestfall.core.stream;
