/** Assembly, storage and placement of streamed answers. */
package org.goldcrestfall.core.stream;
