package org.ebonyford.finding;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects findings so that they are reported together.
 */
public final class Findings {

	/**
	 * The findings in the order in which they were added.
	 */
	private final List<Finding> findings = new ArrayList<>();

	/**
	 * Adds a finding.
	 * @param place the place of the fault
	 * @param message what is wrong and what is expected instead
	 */
	public void add(Place place, String message) {
		this.findings.add(new Finding(place, message));
	}

	/**
	 * Returns whether no finding was added.
	 * @return {@code true} if there is no finding
	 */
	public boolean isEmpty() {
		return this.findings.isEmpty();
	}

	/**
	 * Returns the findings.
	 * @return an immutable copy in the order of addition
	 */
	public List<Finding> all() {
		return List.copyOf(this.findings);
	}

	/**
	 * Requires that there is no finding.
	 * @throws FindingsException if there is a finding
	 */
	public void throwIfAny() {
		if (!this.findings.isEmpty()) {
			throw new FindingsException(all());
		}
	}

}
