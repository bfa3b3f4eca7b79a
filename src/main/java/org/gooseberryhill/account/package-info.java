/** Client accounts: who sends a request, by which key, and how much an account may ask for. */
package org.gooseberryhill.account;
