/**
 * Certificates for TLS between peers, reloaded when their files change.
 *
 * @module
 */
import { unwatchFile, watchFile } from "node:fs";
import type { SecureContextOptions } from "node:tls";
import {
  type CertificateFiles,
  loadCertificate,
  type LoadedCertificate,
} from "../../kernel/certificate_files.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Settings } from "../../kernel/settings.ts";

/** Interval at which the files are checked for changes, in ms. */
const WATCH_INTERVAL_MS = 1_000;

/** Certificate and key of this process, and the authority that signs the peers' certificates. */
export class PeerCertificate {
  readonly #files: Required<CertificateFiles>;
  readonly #log: EventLog;
  readonly #listeners: (() => void)[] = [];
  #loaded: LoadedCertificate;

  /** Throws if the files can't be used. */
  constructor(files: Required<CertificateFiles>, log: EventLog) {
    this.#files = files;
    this.#log = log;
    const loaded = loadCertificate(files);
    if (loaded.isErr()) throw new Error(loaded.error);
    this.#loaded = loaded.value;
    for (const file of Object.values(files)) {
      watchFile(
        file,
        { interval: WATCH_INTERVAL_MS, persistent: false },
        () => this.#reload(),
      );
    }
  }

  /** TLS options for a client. */
  clientOptions(): SecureContextOptions {
    return this.#loaded;
  }

  /** TLS options for a server that requires client certificates. */
  serverOptions(): SecureContextOptions & {
    readonly requestCert: true;
    readonly rejectUnauthorized: true;
  } {
    return { ...this.#loaded, requestCert: true, rejectUnauthorized: true };
  }

  /** Calls the listener once changed files are in use. */
  subscribe(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Stops watching the files. */
  close(): void {
    for (const file of Object.values(this.#files)) unwatchFile(file);
  }

  #reload(): void {
    const loaded = loadCertificate(this.#files);
    if (loaded.isErr()) {
      this.#log.write(Events.CERTIFICATE_REJECTED, {
        purpose: "peers",
        reason: loaded.error,
      });
      return;
    }
    this.#loaded = loaded.value;
    this.#log.write(Events.CERTIFICATE_RELOADED, { purpose: "peers" });
    for (const listener of this.#listeners) listener();
  }
}

/** Resolves the certificate from the settings; returns undefined unless certificate, key and authority are all set. Throws if the files can't be used. */
export function resolvePeerCertificate(
  settings: Pick<
    Settings,
    "peerCertificate" | "peerCertificateKey" | "peerAuthority"
  >,
  log: EventLog,
): PeerCertificate | undefined {
  const { peerCertificate, peerCertificateKey, peerAuthority } = settings;
  if (!peerCertificate || !peerCertificateKey || !peerAuthority) return;
  return new PeerCertificate({
    certificate: peerCertificate,
    key: peerCertificateKey,
    authority: peerAuthority,
  }, log);
}
