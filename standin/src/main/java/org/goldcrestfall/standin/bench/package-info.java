/** Benchmarks of the decision code over modelled engines, as discrete-event simulations. */
package org.goldcrestfall.standin.bench;
