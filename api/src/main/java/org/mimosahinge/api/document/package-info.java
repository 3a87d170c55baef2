/** Parser and checks of the operators' document and of settings files. */
package org.mimosahinge.api.document;
