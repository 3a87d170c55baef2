/** Stand-in of a region link: forwards TCP connections with delay and limited rate, and counts bytes. */
package org.mimosahinge.standin.link;
