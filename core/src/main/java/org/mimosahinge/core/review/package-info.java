/** Review of a configuration before it is sent: entries without effect, contradictions and differences. */
package org.mimosahinge.core.review;
