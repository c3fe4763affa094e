package org.ebonyford.router.process;

import java.util.concurrent.CompletableFuture;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import com.google.inject.Guice;
import com.google.inject.ProvisionException;
import org.slf4j.LoggerFactory;

import org.ebonyford.router.RouterLauncher;
import org.ebonyford.router.settings.RouterKeys;
import org.ebonyford.router.settings.RouterSettings;

/**
 * Runs a router in this process until the process is asked to stop.
 */
public enum DropwizardLauncher implements RouterLauncher {

	/**
	 * The singleton instance.
	 */
	INSTANCE;

	/**
	 * The name that all loggers of the router begin with.
	 */
	private static final String OWN_LOGGERS = "org.ebonyford";

	@Override
	public CompletableFuture<Void> launch(RouterSettings settings) {
		startLogging();
		try {
			return launch(settings, Guice.createInjector(new RouterModule(settings)).getInstance(RouterProcess.class));
		}
		catch (ProvisionException ex) {
			return CompletableFuture.failedFuture((ex.getCause() != null) ? ex.getCause() : ex);
		}
	}

	private static CompletableFuture<Void> launch(RouterSettings settings, RouterProcess process) {
		long timeout = settings.value(RouterKeys.Stop.NOTICE) + settings.value(RouterKeys.Stop.TIMEOUT);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> finish(process, timeout), "stop"));
		return process.start();
	}

	private static void startLogging() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.getLogger(OWN_LOGGERS).setLevel(Level.INFO);
	}

	private static void finish(RouterProcess process, long timeoutMillis) {
		process.stop();
		process.awaitEnd(timeoutMillis);
		Runtime.getRuntime().halt(0);
	}

}
