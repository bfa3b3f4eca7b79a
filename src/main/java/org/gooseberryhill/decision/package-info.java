/**
 * The decision core: what the system decides, without sockets, files, threads, wall clock or randomness of its own.
 *
 * <p>Time comes in as {@code nowNanos}, random numbers from a seeded source that is passed in; commands come out.
 * Nothing here is thread-safe unless it says so: a process runs it on its control thread, a test in virtual time.
 */
package org.gooseberryhill.decision;
