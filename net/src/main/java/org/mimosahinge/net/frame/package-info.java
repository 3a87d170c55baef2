/** Frames that daemons exchange, and their MessagePack encoding. */
package org.mimosahinge.net.frame;
