/**
 * Certificates for TLS between peers, read anew when their files change.
 *
 * @module
 */
import { readFileSync, unwatchFile, watchFile } from "node:fs";
import type { SecureContextOptions, Server as TlsServer } from "node:tls";
import type { Settings } from "../../kernel/settings.ts";

const WATCH_INTERVAL_MS = 5_000;

/** Files of a certificate, its key and the authority of all peers. */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

/** Certificate and key of this process, and the authority that signs those of peers. */
export class PeerCertificate {
  readonly #files: CertificateFiles;
  readonly #listeners: (() => void)[] = [];

  constructor(files: CertificateFiles) {
    this.#files = files;
    for (const file of Object.values(files)) {
      watchFile(
        file,
        { interval: WATCH_INTERVAL_MS, persistent: false },
        () => this.#changed(),
      );
    }
  }

  /** What a client needs. */
  options(): SecureContextOptions {
    return {
      cert: readFileSync(this.#files.certificate),
      key: readFileSync(this.#files.key),
      ca: readFileSync(this.#files.authority),
    };
  }

  /** What a server needs; peers must show a certificate too. */
  serverOptions(): SecureContextOptions & {
    readonly requestCert: true;
    readonly rejectUnauthorized: true;
  } {
    return { ...this.options(), requestCert: true, rejectUnauthorized: true };
  }

  /** Gives each new certificate to a server. */
  watch(server: unknown): void {
    this.subscribe(() =>
      (server as TlsServer).setSecureContext(this.options())
    );
  }

  /** Calls back when the files have changed and can be read. */
  subscribe(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Ends the watch of the files. */
  close(): void {
    for (const file of Object.values(this.#files)) unwatchFile(file);
  }

  /** A file may be half written; the old certificate stays until both fit. */
  #changed(): void {
    try {
      for (const listener of this.#listeners) listener();
    } catch {
      return;
    }
  }
}

/** The certificate that the settings name; undefined when they name none. */
export function resolvePeerCertificate(
  settings: Pick<
    Settings,
    "peerCertificate" | "peerCertificateKey" | "peerAuthority"
  >,
): PeerCertificate | undefined {
  const { peerCertificate, peerCertificateKey, peerAuthority } = settings;
  if (!peerCertificate || !peerCertificateKey || !peerAuthority) return;
  return new PeerCertificate({
    certificate: peerCertificate,
    key: peerCertificateKey,
    authority: peerAuthority,
  });
}
