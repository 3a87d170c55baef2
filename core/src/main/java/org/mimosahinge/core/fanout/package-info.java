/** Shape of the distribution tree and rate limits for connecting to it. */
package org.mimosahinge.core.fanout;
