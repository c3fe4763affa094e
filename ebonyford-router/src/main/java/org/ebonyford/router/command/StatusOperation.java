package org.ebonyford.router.command;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import org.ebonyford.router.settings.RouterKeys;
import org.ebonyford.router.tls.PemKeyStore;

/**
 * Asks routers what is in force at them.
 */
@Command(name = "status", description = "Asks routers which version is in force at them and whether they are ready.")
public class StatusOperation extends AbstractOperation {

	/**
	 * The environment variable that holds the operators' secret.
	 */
	static final String SECRET_VARIABLE = "EBONYFORD_OPERATORS_SECRET";

	/**
	 * The parts of a router's answer that are shown.
	 */
	private static final List<String> SHOWN = List.of("vm", "dataCentre", "ready", "reason", "controlVersion",
			"listRevision", "dataCentresOut", "vmsOut", "upstreamsOut");

	/**
	 * Reads the routers' answers.
	 */
	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * The addresses of the routers' interfaces for operators.
	 */
	@Option(name = "--router", title = "URL", description = "The address of a router's interface for operators, "
			+ "such as http://10.0.0.1:8081; may be given again.")
	private List<String> routers = new ArrayList<>();

	/**
	 * The address of the platform's list.
	 */
	@Option(name = "--list", title = "URL",
			description = "The address of the list of VMs, whose routers are asked in place of --router.")
	private String list;

	/**
	 * The port of the listed routers' interfaces for operators.
	 */
	@Option(name = "--port", title = "PORT",
			description = "The port of the listed routers' interfaces for operators; without it 8081.")
	private int port = RouterKeys.Operators.PORT.standardValue().orElseThrow();

	/**
	 * The file of the authorities that routers are trusted by.
	 */
	@Option(name = "--authorities", title = "FILE",
			description = "The certificates in PEM form of the authorities that routers are trusted by; "
					+ "with it listed routers are asked over TLS.")
	private String authorities;

	@Override
	Answer answer(CommandEnvironment environment) {
		Optional<String> secret = environment.variables().apply(SECRET_VARIABLE);
		if (secret.isEmpty()) {
			throw new CommandException("Set " + SECRET_VARIABLE + " to the operators' secret");
		}
		Fetcher fetcher = fetcher(environment);
		Map<String, CompletableFuture<String>> asked = new LinkedHashMap<>();
		for (String router : routers(environment)) {
			asked.put(router, fetcher.fetch(address(router, "/status"), secret));
		}
		List<RouterAnswer> answers = asked.entrySet()
			.stream()
			.map((entry) -> RouterAnswer.of(entry.getKey(), entry.getValue()))
			.toList();
		return summary(answers);
	}

	private Fetcher fetcher(CommandEnvironment environment) {
		if (this.authorities == null) {
			return environment.fetcher();
		}
		try {
			return environment.fetcher().trusting(PemKeyStore.ofAuthorities(Path.of(this.authorities)));
		}
		catch (IOException | GeneralSecurityException ex) {
			throw new CommandException(
					"The authorities in " + this.authorities + " cannot be used: " + ex.getMessage());
		}
	}

	private List<String> routers(CommandEnvironment environment) {
		if (this.routers.isEmpty() == (this.list == null)) {
			throw new CommandException("Give either --router or --list");
		}
		return (this.list != null) ? listed(environment) : this.routers;
	}

	private List<String> listed(CommandEnvironment environment) {
		try {
			String document = environment.fetcher().fetch(address(this.list, "/vms"), Optional.empty()).join();
			List<String> addresses = new ArrayList<>();
			String scheme = (this.authorities != null) ? "https://" : "http://";
			for (JsonNode vm : MAPPER.readTree(document).path("vms")) {
				String address = vm.path("address").asText();
				addresses.add(scheme + address.substring(0, address.lastIndexOf(':') + 1) + this.port);
			}
			return addresses;
		}
		catch (CompletionException | JsonProcessingException | StringIndexOutOfBoundsException ex) {
			throw new UnreachableException("The list of VMs cannot be read");
		}
	}

	private static URI address(String base, String path) {
		return RouterKeys.Platform.LOG.format()
			.parse(base)
			.map((uri) -> uri.resolve(path))
			.orElseThrow(() -> new CommandException(
					"\"" + base + "\" is not valid; expected " + RouterKeys.Platform.LOG.format().expected()));
	}

	private static Answer summary(List<RouterAnswer> answers) {
		boolean complete = answers.stream().allMatch((answer) -> answer.failure().isEmpty());
		List<String> lines = answers.stream().map(RouterAnswer::line).toList();
		Map<String, Object> fields = new LinkedHashMap<>();
		answers.forEach((answer) -> fields.put(answer.router(), answer.fields()));
		return new Answer(complete ? ExitCode.OK : ExitCode.UNREACHABLE, lines, Map.of("routers", fields));
	}

	/**
	 * What one router answered.
	 *
	 * @param router the address of the router
	 * @param fields what is shown of its answer
	 * @param failure why there is no answer, empty if there is one
	 */
	private record RouterAnswer(String router, Map<String, Object> fields, Optional<String> failure) {

		static RouterAnswer of(String router, CompletableFuture<String> document) {
			try {
				JsonNode answer = MAPPER.readTree(document.join());
				Map<String, Object> fields = new LinkedHashMap<>();
				SHOWN.stream().filter(answer::has).forEach((name) -> fields.put(name, answer.get(name)));
				return new RouterAnswer(router, fields, Optional.empty());
			}
			catch (CompletionException | JsonProcessingException ex) {
				String failure = "no answer";
				return new RouterAnswer(router, Map.of("failure", failure), Optional.of(failure));
			}
		}

		String line() {
			return this.router + " "
					+ this.failure.orElseGet(() -> this.fields.entrySet()
						.stream()
						.map((entry) -> entry.getKey() + "=" + entry.getValue())
						.reduce((left, right) -> left + " " + right)
						.orElse("empty answer"));
		}

	}

}
