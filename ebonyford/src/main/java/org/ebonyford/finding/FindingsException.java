package org.ebonyford.finding;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Signals that a file has faults and reports them all.
 */
public class FindingsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * The findings in the order of their discovery.
	 */
	private final transient List<Finding> findings;

	/**
	 * Creates an exception.
	 * @param findings the findings in the order of their discovery
	 */
	public FindingsException(List<Finding> findings) {
		super(findings.stream().map(Finding::toString).collect(Collectors.joining(System.lineSeparator())));
		this.findings = List.copyOf(findings);
	}

	/**
	 * Returns the findings.
	 * @return the findings in the order of their discovery
	 */
	public List<Finding> findings() {
		return this.findings;
	}

}
