import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The evacuation of a zone ends and the store deletes old records before the gateways have read that; then the other
 * zone is evacuated. Tells how many requests are still served.
 */
final class Case2Evacuation {

	private static final int GATEWAYS = 6;

	private static final int REQUESTS = 10;

	private static final long TIME_LIMIT_MILLIS = 1_500;

	/** More than `evacuate_ms`, which is 5,000. */
	private static final long EVACUATE_MILLIS = 6_000;

	public static void main(String[] arguments) {
		Scene.main(arguments, Case2Evacuation::play);
	}

	private static boolean play(Scene scene) throws Exception {
		scene.configure(7, Scene.route("read", "/read/", "idempotent", "booking-core", TIME_LIMIT_MILLIS, 2, false),
				Scene.service("booking-core", 96), Scene.tenant("hule930", Caller.KEY));
		for (String zone : List.of("a", "b")) {
			scene.engine("i-" + zone, "booking-core", "kz-south-" + zone, 24, (exchange) -> {
				scene.record.line("engine %s runs %s", exchange.engine().id, exchange.request().id());
				Tasks.sleep(15);
				exchange.send("200 OK", exchange.seal(), "read".getBytes());
			});
		}
		List<Gateway> gateways = new ArrayList<>();
		for (int number = 1; number <= GATEWAYS; number++) {
			gateways.add(scene.gateway("front-" + number, "kz-south-" + "ab".charAt(number % 2)));
		}
		gateways.forEach(Gateway::awaitReady);
		Tasks.sleep(5_000);
		served(scene, gateways, "in calm");
		evacuate(scene, "kz-south-a");
		served(scene, gateways, "while kz-south-a is evacuated");
		synchronized (scene.store) {
			scene.store.drop("keyed.op", "evacuate/kz-south-a");
			if (scene.trouble) {
				scene.store.deleteHistory("keyed.op");
			}
		}
		scene.record.line("kz-south-a is taken back");
		Tasks.sleep(EVACUATE_MILLIS);
		served(scene, gateways, "after kz-south-a is taken back");
		evacuate(scene, "kz-south-b");
		served(scene, gateways, "while kz-south-b is evacuated");
		Tasks.sleep(10_000);
		int last = served(scene, gateways, "10 s later");
		scene.record.result("gateways that say they are ready: %d of %d",
				gateways.stream().filter(Gateway::ready).count(), GATEWAYS);
		return last < GATEWAYS * REQUESTS;
	}

	private static void evacuate(Scene scene, String zone) {
		scene.store.put("keyed.op", "evacuate/" + zone, "{}");
		scene.record.line("the evacuation of %s is confirmed", zone);
		Tasks.sleep(EVACUATE_MILLIS);
	}

	private static int served(Scene scene, List<Gateway> gateways, String when) throws IOException {
		int served = 0;
		for (Gateway gateway : gateways) {
			try (Caller caller = new Caller(gateway.callers())) {
				for (int number = 0; number < REQUESTS; number++) {
					Caller.Answer answer = caller.call("GET", "/read/profile", Caller.newId(), TIME_LIMIT_MILLIS, "",
							new byte[0]);
					scene.record.line("request at %s: %s", gateway.callers(), answer);
					served += (answer.status() == 200) ? 1 : 0;
				}
			}
		}
		scene.record.result("%s: %d of %d served", when, served, gateways.size() * REQUESTS);
		return served;
	}

}
