/**
 * A load tool whose client checks every answer against its own request.
 */
package org.ebonyford.emulator.load;
