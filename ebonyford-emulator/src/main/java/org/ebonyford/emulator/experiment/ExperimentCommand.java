package org.ebonyford.emulator.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import org.ebonyford.emulator.demo.Table;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Site;

/**
 * Makes experiments and prints their figures.
 */
@Command(name = "experiment",
		description = "Makes experiments: fairness, traffic, move, latency, claims; without a name all of them")
public final class ExperimentCommand implements Runnable {

	/**
	 * The experiments by their names.
	 */
	private static final Map<String, Experiment> EXPERIMENTS = experiments();

	/**
	 * The experiments to make.
	 */
	@Arguments(title = "NAME", description = "The experiments to make")
	private List<String> names = new ArrayList<>();

	/**
	 * The deployments to make them on.
	 */
	@Option(name = "--deployment", title = "NAME", description = "dalagul or lumitieto; without it both")
	private List<String> deployments = new ArrayList<>();

	/**
	 * The seconds that the measured part of an experiment takes.
	 */
	@Option(name = "--seconds", title = "N", description = "The seconds that the measured part takes")
	private int seconds = 20;

	/**
	 * The number of routers.
	 */
	@Option(name = "--routers", title = "N", description = "The number of routers; without it that of the deployment")
	private int routers;

	/**
	 * The file that takes the figures.
	 */
	@Option(name = "--out", title = "FILE", description = "The file that takes the figures as lines of JSON")
	private String out;

	/**
	 * The executable file of the program.
	 */
	@Option(name = "--executable", title = "FILE", description = "The executable file of ebonyford")
	private String executable;

	/**
	 * Creates a command.
	 */
	public ExperimentCommand() {
	}

	@Override
	public void run() {
		List<Measurement> measurements = new ArrayList<>();
		for (Deployment deployment : chosenDeployments()) {
			for (String name : this.names.isEmpty() ? EXPERIMENTS.keySet() : this.names) {
				measurements.addAll(measure(deployment, name));
			}
		}
		print(measurements);
		Optional.ofNullable(this.out).ifPresent((file) -> write(Path.of(file), measurements));
	}

	private List<Measurement> measure(Deployment deployment, String name) {
		Experiment experiment = Optional.ofNullable(EXPERIMENTS.get(name))
			.orElseThrow(() -> new IllegalArgumentException("There is no experiment " + name));
		System.err.println("Experiment " + name + " on " + deployment.name() + " ...");
		Site.Builder builder = experiment.site(deployment);
		if (this.executable != null) {
			builder = builder.executable(Path.of(this.executable).toAbsolutePath());
		}
		if (this.routers > 0) {
			builder = builder.routers(this.routers);
		}
		try (Site site = builder.start()) {
			Bench bench = new Bench(name, site, this.seconds);
			experiment.run(bench);
			return bench.measurements();
		}
	}

	private List<Deployment> chosenDeployments() {
		return List.of(Deployment.dalagul(), Deployment.lumitieto())
			.stream()
			.filter((deployment) -> this.deployments.isEmpty() || this.deployments.contains(deployment.name()))
			.toList();
	}

	private static Map<String, Experiment> experiments() {
		Map<String, Experiment> experiments = new LinkedHashMap<>();
		experiments.put("fairness", new Fairness());
		experiments.put("traffic", new Traffic());
		experiments.put("move", new Move());
		experiments.put("latency", new Latency());
		experiments.put("claims", new Claims());
		return experiments;
	}

	private static void print(List<Measurement> measurements) {
		Table table = new Table("deployment", "experiment", "quantity", "value", "unit");
		measurements.forEach((each) -> table.row(each.deployment(), each.experiment(), each.quantity(),
				String.format(Locale.ROOT, "%.2f", each.value()), each.unit()));
		System.out.println(table);
	}

	private static void write(Path file, List<Measurement> measurements) {
		try {
			Files.write(file, measurements.stream().map(Json::text).toList());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
