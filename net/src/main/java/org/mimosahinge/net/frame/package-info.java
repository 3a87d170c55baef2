/** Frames between daemons and their MessagePack encoding. */
package org.mimosahinge.net.frame;
