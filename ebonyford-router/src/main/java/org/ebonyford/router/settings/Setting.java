package org.ebonyford.router.settings;

import java.util.Objects;
import java.util.Optional;

import org.ebonyford.ini.ValueFormat;

/**
 * One setting of a router.
 *
 * @param section the section that it stands in
 * @param key its key
 * @param format the way in which its value is written
 * @param presence whether it may be left out
 * @param standard the value that counts where it is left out, empty if there is none
 * @param meaning what it means, as a sentence
 * @param <T> the type of its value
 */
public record Setting<T>(String section, String key, ValueFormat<T> format, Presence presence, String standard,
		String meaning) {

	/**
	 * Creates a setting.
	 * @throws IllegalArgumentException if the standard value cannot be read
	 */
	public Setting {
		Objects.requireNonNull(meaning, "meaning");
		if (presence == Presence.STANDARD && format.parse(standard).isEmpty()) {
			throw new IllegalArgumentException("The standard value of " + key + " is not valid: " + standard);
		}
	}

	/**
	 * Creates a setting that must be there.
	 * @param section the section that it stands in
	 * @param key its key
	 * @param format the way in which its value is written
	 * @param meaning what it means, as a sentence
	 * @param <T> the type of its value
	 * @return the setting
	 */
	static <T> Setting<T> required(String section, String key, ValueFormat<T> format, String meaning) {
		return new Setting<>(section, key, format, Presence.REQUIRED, "", meaning);
	}

	/**
	 * Creates a setting that may be left out and has no value then.
	 * @param section the section that it stands in
	 * @param key its key
	 * @param format the way in which its value is written
	 * @param meaning what it means, as a sentence
	 * @param <T> the type of its value
	 * @return the setting
	 */
	static <T> Setting<T> optional(String section, String key, ValueFormat<T> format, String meaning) {
		return new Setting<>(section, key, format, Presence.OPTIONAL, "", meaning);
	}

	/**
	 * Creates a setting that has a standard value where it is left out.
	 * @param section the section that it stands in
	 * @param key its key
	 * @param format the way in which its value is written
	 * @param standard the standard value
	 * @param meaning what it means, as a sentence
	 * @param <T> the type of its value
	 * @return the setting
	 */
	static <T> Setting<T> standard(String section, String key, ValueFormat<T> format, String standard, String meaning) {
		return new Setting<>(section, key, format, Presence.STANDARD, standard, meaning);
	}

	/**
	 * Returns the value that counts where the setting is left out.
	 * @return the value, or empty if there is none
	 */
	public Optional<T> standardValue() {
		return (this.presence == Presence.STANDARD) ? this.format.parse(this.standard) : Optional.empty();
	}

	/**
	 * Whether a setting may be left out.
	 */
	public enum Presence {

		/** The setting must be there. */
		REQUIRED,

		/** The setting may be left out and has no value then. */
		OPTIONAL,

		/** The setting may be left out and has a standard value then. */
		STANDARD

	}

}
