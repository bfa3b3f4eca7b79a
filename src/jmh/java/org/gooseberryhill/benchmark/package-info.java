/** Benchmarks of the hot decisions; run by {@code bin/benchmark}, never as tests. */
package org.gooseberryhill.benchmark;
