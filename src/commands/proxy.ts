/**
 * The `proxy` command: resolves the settings, starts the kernel and shuts it down
 * gracefully.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { clock } from "../kernel/clock.ts";
import { createEventLog, type EventLog, Events } from "../kernel/events.ts";
import { Kernel } from "../kernel/kernel.ts";
import { resolveSettings, type Settings } from "../kernel/settings.ts";
import { SuspensionLog } from "../kernel/suspension_log.ts";
import { logUnhandledErrors } from "../kernel/unexpected_errors.ts";
import "../plugins/mod.ts";

const STOP_SIGNALS: readonly NodeJS.Signals[] = ["SIGTERM", "SIGINT"];

/** `marjoramshed proxy`: serves callers until SIGTERM or SIGINT. */
export class ProxyCommand extends Command {
  static override paths = [["proxy"]];
  static override usage = Command.Usage({
    category: "Daemon",
    description: "Serve callers on this entry host",
    details: `
      Settings come from flags and environment variables; a flag overrides its
      variable. \`--peer-key\` corresponds to \`MARJORAMSHED_PEER_KEY\`, and so
      on. docs/OPERATIONS.md lists all settings.

      Prints one line of JSON once the proxy accepts callers. On SIGTERM the
      proxy shuts down gracefully: running statements and transactions complete
      before the process exits.
    `,
    examples: [[
      "Serve in zone zagreb-a",
      '$0 proxy --name zagreb-1 --zone zagreb-a --peer-key "$KEY" ' +
      "--table-service http://10.0.0.2:8000 --object-store http://10.0.0.2:9000 " +
      "--host-list http://10.0.0.2:7000",
    ]],
  });

  args = Option.Proxy();

  async execute(): Promise<number> {
    const settings = resolveSettings(this.args, process.env);
    if (settings.isErr()) {
      const { code, message } = settings.error;
      this.context.stderr.write(
        `marjoramshed: ${message} (code ${code.number})\n`,
      );
      return code.exitCode;
    }
    const { name, zone, logLevel } = settings.value;
    const log = createEventLog(logLevel, { proxy: name, zone });
    logUnhandledErrors(log);
    new SuspensionLog(log).start();
    const kernel = new Kernel(settings.value, log);
    const stopped = stopOnSignal(kernel, settings.value, log);
    await kernel.start([
      "failover",
      "callers",
      "membership",
      "metrics",
      "status",
      "ledger_purge",
    ]);
    this.context.stdout.write(
      JSON.stringify(createReadyReport(kernel, settings.value)) + "\n",
    );
    log.write(Events.STARTED, createReadyReport(kernel, settings.value));
    await stopped;
    return 0;
  }
}

function createReadyReport(
  kernel: Kernel,
  settings: Settings,
): Record<string, unknown> {
  return {
    ready: true,
    name: settings.name,
    zone: settings.zone,
    host: settings.address,
    port: kernel.use("callers").port,
    peers: kernel.use("peers").endpoint,
    metricsPort: kernel.use("metrics").port,
    pid: process.pid,
  };
}

function stopOnSignal(
  kernel: Kernel,
  settings: Settings,
  log: EventLog,
): Promise<void> {
  return new Promise((resolve) => {
    let stopping = false;
    const stop = async (): Promise<void> => {
      if (stopping) return;
      stopping = true;
      log.write(Events.STOPPING);
      await kernel.stop(clock.now() + settings.stopDeadline);
      log.write(Events.STOPPED);
      resolve();
      // Otherwise a connection that an outage keeps open would keep the process running.
      process.exit(0);
    };
    for (const signal of STOP_SIGNALS) process.on(signal, () => void stop());
  });
}
