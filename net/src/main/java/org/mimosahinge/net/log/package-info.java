/** Log lines of key=value pairs. */
package org.mimosahinge.net.log;
