/**
 * The TLS certificate for callers, reloaded when its files change.
 *
 * @module
 */
import { readFileSync, statSync } from "node:fs";
import type { TlsOptions } from "pg-gateway";
import type { Settings } from "../../kernel/settings.ts";

const CHECK_INTERVAL_MS = 2_000;

/** Certificate and key from two PEM files. */
export class CallerCertificate {
  readonly #certificate: string;
  readonly #key: string;
  #loaded: TlsOptions;
  #changedAt: number;
  #checkedAt: number;

  constructor(certificate: string, key: string) {
    this.#certificate = certificate;
    this.#key = key;
    this.#changedAt = this.#lastChange();
    this.#checkedAt = performance.now();
    this.#loaded = this.#load();
  }

  /** The current certificate and key; files that can't be read leave the previous pair in use. */
  current(): TlsOptions {
    const now = performance.now();
    if (now - this.#checkedAt < CHECK_INTERVAL_MS) return this.#loaded;
    this.#checkedAt = now;
    try {
      const changedAt = this.#lastChange();
      if (changedAt === this.#changedAt) return this.#loaded;
      this.#loaded = this.#load();
      this.#changedAt = changedAt;
    } catch {
      // The files are probably being replaced; a later connection retries.
    }
    return this.#loaded;
  }

  #lastChange(): number {
    const files = [this.#certificate, this.#key];
    return Math.max(...files.map((file) => statSync(file).mtimeMs));
  }

  #load(): TlsOptions {
    return {
      cert: readFileSync(this.#certificate),
      key: readFileSync(this.#key),
    };
  }
}

/** Loads the certificate and key that the settings name; undefined if either is not set. Throws if the files can't be read. */
export function createCallerCertificate(
  settings: Settings,
): CallerCertificate | undefined {
  const { callerCertificate, callerKey } = settings;
  if (!callerCertificate || !callerKey) return undefined;
  return new CallerCertificate(callerCertificate, callerKey);
}
