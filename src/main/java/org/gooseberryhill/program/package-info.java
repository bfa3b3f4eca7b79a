/** The programs: their command lines, checked settings and life. */
package org.gooseberryhill.program;
