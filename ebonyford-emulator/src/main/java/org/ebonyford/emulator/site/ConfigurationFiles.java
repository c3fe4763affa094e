package org.ebonyford.emulator.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.UnaryOperator;

/**
 * The two lists that an operator publishes.
 *
 * @param plans the text of the list of plans
 * @param uses the text of the list of what each plan may use
 */
public record ConfigurationFiles(String plans, String uses) {

	/**
	 * The request classes that every plan may use.
	 */
	private static final String CLASSES = "interactive, batch";

	/**
	 * Creates the lists of a deployment.
	 * @param deployment the deployment
	 * @param address tells the host and port of an upstream by its name
	 * @return the lists
	 */
	public static ConfigurationFiles of(Deployment deployment, UnaryOperator<String> address) {
		return new ConfigurationFiles(plans(deployment), uses(deployment, address));
	}

	/**
	 * Writes the lists to a directory.
	 * @param directory the directory
	 */
	public void write(Path directory) {
		try {
			Files.writeString(directory.resolve("plans.ini"), this.plans);
			Files.writeString(directory.resolve("uses.ini"), this.uses);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String plans(Deployment deployment) {
		StringBuilder text = new StringBuilder();
		for (Deployment.Plan plan : deployment.plans()) {
			text.append(String.format("[plan %s]%nweight = %d%nmax-queued = %d%n%n", plan.name(), plan.weight(),
					plan.maxQueued()));
		}
		for (Deployment.Organisation organisation : deployment.organisations()) {
			text.append(String.format("[organisation %s]%nplan = %s%nkey-sha256 = %s%n%n", organisation.name(),
					organisation.plan(), organisation.keyDigest()));
		}
		return text.toString();
	}

	private static String uses(Deployment deployment, UnaryOperator<String> address) {
		StringBuilder text = new StringBuilder();
		for (Deployment.Pool pool : deployment.pools()) {
			text.append(String.format("[pool %s]%nkind = %s%nwarm-limit = %d%ncold-limit = %d%n%n", pool.name(),
					pool.engine() ? "engine" : "service", pool.settings().warm(), pool.settings().cold()));
		}
		for (Deployment.Upstream upstream : deployment.upstreams()) {
			text.append(String.format("[upstream %s]%npool = %s%ndata-centre = %s%naddress = %s%n%n", upstream.name(),
					upstream.pool().name(), upstream.dataCentre(), address.apply(upstream.name())));
		}
		for (Deployment.Plan plan : deployment.plans()) {
			for (Deployment.Pool pool : deployment.pools()) {
				text.append(String.format("[use %s %s]%nclasses = %s%n%n", plan.name(), pool.name(), CLASSES));
			}
		}
		return text.toString();
	}

}
