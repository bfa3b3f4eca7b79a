/** The programs: their command lines, the validation of their settings, and their start and stop. */
package org.gooseberryhill.program;
