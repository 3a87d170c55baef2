/** Typed failures with stable codes. */
package org.mimosahinge.api.error;
