/**
 * The decision core: decision logic without sockets, files, threads, a wall clock or its own source of randomness.
 *
 * <p>Callers pass in the time as {@code nowNanos} and a seeded random source; the classes return commands. Nothing here
 * is thread-safe unless documented otherwise: a process runs the decision core on its control thread, and tests run it
 * in virtual time.
 */
package org.gooseberryhill.decision;
