/** Benchmarks of the decisions on the hot path; run by {@code bin/benchmark}, not as tests. */
package org.gooseberryhill.benchmark;
