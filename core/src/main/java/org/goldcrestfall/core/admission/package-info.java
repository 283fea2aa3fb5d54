/** Admission by patience: earliest deadline first within reserved shares, and early refusal. */
package org.goldcrestfall.core.admission;
