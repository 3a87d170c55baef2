/** Shape and pacing of the distribution tree. */
package org.mimosahinge.core.fanout;
