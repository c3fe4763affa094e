package org.ebonyford.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.ebonyford.finding.Findings;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PlanId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.ini.IniFile;
import org.ebonyford.ini.IniSection;
import org.ebonyford.ini.SectionReader;
import org.ebonyford.ini.ValueFormat;

/**
 * Parses the two files of one configuration and collects what is wrong with them.
 */
final class IniConfigurationParser {

	/**
	 * The greatest weight of a plan.
	 */
	private static final int GREATEST_WEIGHT = 1_000_000;

	/**
	 * The greatest number of waiting requests or slots.
	 */
	private static final int GREATEST_COUNT = 1_000_000;

	/**
	 * The format of a count.
	 */
	private static final ValueFormat<Integer> COUNT = new ValueFormat.ForInteger(1, GREATEST_COUNT);

	/**
	 * The format of a pool's kind.
	 */
	private static final ValueFormat<Pool.Kind> KIND = new ValueFormat.ForChoice<>(
			Map.of("engine", Pool.Kind.ENGINE, "service", Pool.Kind.SERVICE));

	/**
	 * The findings so far.
	 */
	private final Findings findings = new Findings();

	/**
	 * The plans that were read.
	 */
	private final Map<PlanId, Plan> plans = new LinkedHashMap<>();

	/**
	 * The organisations that were read.
	 */
	private final Map<OrganisationId, Organisation> organisations = new LinkedHashMap<>();

	/**
	 * The pools that were read.
	 */
	private final Map<PoolId, Pool> pools = new LinkedHashMap<>();

	/**
	 * The upstreams that were read.
	 */
	private final Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();

	/**
	 * The uses that were read.
	 */
	private final Map<List<String>, Use> uses = new LinkedHashMap<>();

	/**
	 * The headers that the files hold, those of faulty sections among them.
	 */
	private final Set<String> headers = new HashSet<>();

	/**
	 * The sections that used a value which must be unique.
	 */
	private final Map<String, IniSection> unique = new HashMap<>();

	Configuration read(String plansText, String usesText) {
		IniFile plansFile = IniFile.read(ConfigurationReader.ForIni.PLANS_FILE, plansText, this.findings);
		IniFile usesFile = IniFile.read(ConfigurationReader.ForIni.USES_FILE, usesText, this.findings);
		remember(plansFile);
		remember(usesFile);
		plansFile.sections().forEach(this::plansSection);
		usesFile.sections().forEach(this::usesSection);
		requireSome(plansFile, "plan");
		requireSome(usesFile, "pool");
		this.findings.throwIfAny();
		return new Configuration(this.plans, this.organisations, this.pools, this.upstreams,
				List.copyOf(this.uses.values()));
	}

	private void remember(IniFile file) {
		file.sections().stream().map(IniSection::header).forEach(this.headers::add);
	}

	private void requireSome(IniFile file, String kind) {
		if (file.sections().stream().noneMatch((section) -> section.kind().equals(kind))) {
			this.findings.add(file.place(), "The file needs at least one section [" + kind + " NAME]");
		}
	}

	private void plansSection(IniSection section) {
		switch (section.kind()) {
			case "plan" -> named(section, 1, this::plan);
			case "organisation" -> named(section, 1, this::organisation);
			default -> this.findings.add(section.place(), "The section is unknown; expected [plan] or [organisation]");
		}
	}

	private void usesSection(IniSection section) {
		switch (section.kind()) {
			case "pool" -> named(section, 1, this::pool);
			case "upstream" -> named(section, 1, this::upstream);
			case "use" -> named(section, 2, this::use);
			default ->
				this.findings.add(section.place(), "The section is unknown; expected [pool], [upstream] or [use]");
		}
	}

	private void named(IniSection section, int names, Consumer<IniSection> reader) {
		if (section.names().size() != names) {
			this.findings.add(section.place(),
					"The header needs " + names + ((names == 1) ? " name" : " names") + " after its first word");
			return;
		}
		boolean valid = section.names().stream().allMatch((name) -> name(section, name));
		if (valid) {
			reader.accept(section);
		}
	}

	private boolean name(IniSection section, String name) {
		boolean valid = ValueFormat.ForPattern.NAME.parse(name).isPresent();
		if (!valid) {
			this.findings.add(section.place(),
					"\"" + name + "\" is not valid; expected " + ValueFormat.ForPattern.NAME.expected());
		}
		return valid;
	}

	private void plan(IniSection section) {
		SectionReader reader = new SectionReader(section, this.findings);
		PlanId id = new PlanId(section.names().get(0));
		Optional<Integer> weight = reader.required("weight", new ValueFormat.ForInteger(1, GREATEST_WEIGHT));
		Optional<Integer> maxQueued = reader.required("max-queued", COUNT);
		reader.finish();
		if (weight.isPresent() && maxQueued.isPresent()) {
			this.plans.put(id, new Plan(id, weight.get(), maxQueued.get()));
		}
	}

	private void organisation(IniSection section) {
		SectionReader reader = new SectionReader(section, this.findings);
		OrganisationId id = new OrganisationId(section.names().get(0));
		Optional<String> plan = reader.required("plan", ValueFormat.ForPattern.NAME)
			.filter((name) -> refers(section, "plan", "plan", name));
		Optional<String> digest = reader.required("key-sha256", ValueFormat.ForPattern.SHA_256)
			.filter((value) -> unique(section, "key-sha256", value));
		reader.finish();
		if (plan.isPresent() && digest.isPresent()) {
			this.organisations.put(id, new Organisation(id, new PlanId(plan.get()), digest.get()));
		}
	}

	private void pool(IniSection section) {
		SectionReader reader = new SectionReader(section, this.findings);
		PoolId id = new PoolId(section.names().get(0));
		Optional<Pool.Kind> kind = reader.required("kind", KIND);
		Optional<Integer> warm = reader.required("warm-limit", COUNT);
		Optional<Integer> cold = reader.required("cold-limit", COUNT);
		reader.finish();
		if (kind.isEmpty() || warm.isEmpty() || cold.isEmpty()) {
			return;
		}
		if (cold.get() > warm.get()) {
			this.findings.add(section.place("cold-limit"), "The cold limit must not exceed the warm limit");
			return;
		}
		this.pools.put(id, new Pool(id, kind.get(), warm.get(), cold.get()));
	}

	private void upstream(IniSection section) {
		SectionReader reader = new SectionReader(section, this.findings);
		UpstreamId id = new UpstreamId(section.names().get(0));
		Optional<String> pool = reader.required("pool", ValueFormat.ForPattern.NAME)
			.filter((name) -> refers(section, "pool", "pool", name));
		Optional<String> dataCentre = reader.required("data-centre", ValueFormat.ForPattern.NAME);
		Optional<String> address = reader.required("address", ValueFormat.ForAddress.INSTANCE)
			.filter((value) -> unique(section, "address", value));
		reader.finish();
		if (pool.isPresent() && dataCentre.isPresent() && address.isPresent()) {
			this.upstreams.put(id,
					new Upstream(id, new PoolId(pool.get()), new DataCentreId(dataCentre.get()), address.get()));
		}
	}

	private void use(IniSection section) {
		SectionReader reader = new SectionReader(section, this.findings);
		String plan = section.names().get(0);
		String pool = section.names().get(1);
		Optional<List<String>> classes = reader.required("classes",
				new ValueFormat.ForList<>(ValueFormat.ForPattern.NAME));
		reader.finish();
		boolean known = refers(section, "", "plan", plan) & refers(section, "", "pool", pool);
		if (known && classes.isPresent()) {
			Set<RequestClass> allowed = classes.get().stream().map(RequestClass::new).collect(Collectors.toSet());
			this.uses.put(section.names(), new Use(new PlanId(plan), new PoolId(pool), allowed));
		}
	}

	private boolean refers(IniSection section, String key, String kind, String name) {
		boolean known = this.headers.contains(kind + " " + name);
		if (!known) {
			this.findings.add(key.isEmpty() ? section.place() : section.place(key),
					"There is no section [" + kind + " " + name + "]");
		}
		return known;
	}

	private boolean unique(IniSection section, String key, String value) {
		IniSection earlier = this.unique.putIfAbsent(key + " " + value, section);
		if (earlier != null) {
			this.findings.add(section.place(key),
					"The value belongs to [" + earlier.header() + "] in line " + earlier.line() + " already");
		}
		return earlier == null;
	}

}
