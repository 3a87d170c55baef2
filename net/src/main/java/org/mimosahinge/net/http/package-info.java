/** HTTP/1.1 client and server for small messages, built on Netty's HTTP codec. */
package org.mimosahinge.net.http;
