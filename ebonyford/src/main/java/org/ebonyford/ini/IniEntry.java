package org.ebonyford.ini;

/**
 * One key of a section with its value.
 *
 * @param key the key
 * @param value the value without surrounding white space
 * @param line the line of the key, counted from 1
 */
public record IniEntry(String key, String value, int line) {

}
