/**
 * The settings of one router process, read from an INI file with all findings at once.
 */
package org.ebonyford.router.settings;
