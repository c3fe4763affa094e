package org.ebonyford.configuration;

import org.ebonyford.finding.FindingsException;

/**
 * Reads and checks a whole configuration.
 */
@FunctionalInterface
public interface ConfigurationReader {

	/**
	 * Reads a configuration.
	 * @param plans the text of the plans file
	 * @param uses the text of the uses file
	 * @return the configuration
	 * @throws FindingsException if there are faults, with all of them
	 */
	Configuration read(String plans, String uses);

	/**
	 * Reads a configuration from two INI files.
	 */
	enum ForIni implements ConfigurationReader {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		/**
		 * The name of the plans file in findings.
		 */
		public static final String PLANS_FILE = "plans.ini";

		/**
		 * The name of the uses file in findings.
		 */
		public static final String USES_FILE = "uses.ini";

		@Override
		public Configuration read(String plans, String uses) {
			return new IniConfigurationParser().read(plans, uses);
		}

	}

}
