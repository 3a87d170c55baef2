/** Socket options of TCP connections. */
package org.mimosahinge.net.tcp;
