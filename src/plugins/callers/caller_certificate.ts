/**
 * The TLS certificate for callers, reloaded when its files change.
 *
 * @module
 */
import { statSync } from "node:fs";
import type { TlsOptions } from "pg-gateway";
import {
  type CertificateFiles,
  loadCertificate,
} from "../../kernel/certificate_files.ts";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Settings } from "../../kernel/settings.ts";

/** Shortest interval between two checks of the files, in ms. */
const CHECK_INTERVAL_MS = 2_000;

/** Files of the certificate, and when they are checked. */
export interface CallerCertificateOptions extends CertificateFiles {
  /** Shortest interval between two checks, in ms. */
  readonly checkInterval?: number;
  readonly log: EventLog;
}

/** Certificate and key from two PEM files. */
export class CallerCertificate {
  readonly #options: CallerCertificateOptions;
  #loaded: TlsOptions;
  /** Time of the latest change of the files in use, in ms. */
  #changedAt: number;
  /** Time of the latest change of the files that were last rejected, in ms. */
  #rejectedChange = NaN;
  #checkedAt: number;

  /** Throws if the files can't be used. */
  constructor(options: CallerCertificateOptions) {
    this.#options = options;
    this.#changedAt = this.#lastChange();
    this.#checkedAt = clock.now();
    const loaded = loadCertificate(options);
    if (loaded.isErr()) throw new Error(loaded.error);
    this.#loaded = loaded.value;
  }

  /** The current certificate and key; files that can't be used leave the former pair in use. */
  current(): TlsOptions {
    const { checkInterval = CHECK_INTERVAL_MS } = this.#options;
    const now = clock.now();
    if (now - this.#checkedAt < checkInterval) return this.#loaded;
    this.#checkedAt = now;
    this.#reload();
    return this.#loaded;
  }

  #reload(): void {
    const { log } = this.#options;
    const changedAt = this.#lastChange();
    if (changedAt === this.#changedAt) return;
    const loaded = loadCertificate(this.#options);
    if (loaded.isErr()) {
      // Read again at each check: both files may change within one tick of the file system's clock.
      if (changedAt === this.#rejectedChange) return;
      this.#rejectedChange = changedAt;
      log.write(Events.CERTIFICATE_REJECTED, {
        purpose: "callers",
        reason: loaded.error,
      });
      return;
    }
    this.#changedAt = changedAt;
    this.#loaded = loaded.value;
    log.write(Events.CERTIFICATE_RELOADED, { purpose: "callers" });
  }

  /** Time of the latest change of the files, in ms; a missing file counts as changed. */
  #lastChange(): number {
    const { certificate, key } = this.#options;
    const times = [certificate, key].map((file) =>
      statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0
    );
    return times.includes(0) ? 0 : Math.max(...times);
  }
}

/** Loads the certificate and key that the settings name; undefined if either is not set. Throws if the files can't be used. */
export function createCallerCertificate(
  settings: Settings,
  log: EventLog,
): CallerCertificate | undefined {
  const { callerCertificate, callerKey } = settings;
  if (!callerCertificate || !callerKey) return undefined;
  return new CallerCertificate({
    certificate: callerCertificate,
    key: callerKey,
    log,
  });
}
