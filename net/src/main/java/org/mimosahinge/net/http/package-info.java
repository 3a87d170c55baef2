/** Small HTTP/1.1 client and server for JSON messages, built on the HTTP codec of Netty. */
package org.mimosahinge.net.http;
