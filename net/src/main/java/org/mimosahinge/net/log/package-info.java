/** Structured logging with key=value pairs, on top of java.util.logging. */
package org.mimosahinge.net.log;
