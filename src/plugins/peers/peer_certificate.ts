/**
 * Certificates for TLS between peers, reloaded when their files change.
 *
 * @module
 */
import { readFileSync, unwatchFile, watchFile } from "node:fs";
import type { SecureContextOptions, Server as TlsServer } from "node:tls";
import type { Settings } from "../../kernel/settings.ts";

const WATCH_INTERVAL_MS = 5_000;

/** Paths of the PEM files: certificate, private key and the peers' certificate authority. */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

/** Certificate and key of this process, and the authority that signs the peers' certificates. */
export class PeerCertificate {
  readonly #files: CertificateFiles;
  readonly #listeners: (() => void)[] = [];

  constructor(files: CertificateFiles) {
    this.#files = files;
    for (const file of Object.values(files)) {
      watchFile(
        file,
        { interval: WATCH_INTERVAL_MS, persistent: false },
        () => this.#notifyListeners(),
      );
    }
  }

  /** Reads the files and returns TLS options for a client. */
  clientOptions(): SecureContextOptions {
    return {
      cert: readFileSync(this.#files.certificate),
      key: readFileSync(this.#files.key),
      ca: readFileSync(this.#files.authority),
    };
  }

  /** Reads the files and returns TLS options for a server that requires client certificates. */
  serverOptions(): SecureContextOptions & {
    readonly requestCert: true;
    readonly rejectUnauthorized: true;
  } {
    return {
      ...this.clientOptions(),
      requestCert: true,
      rejectUnauthorized: true,
    };
  }

  /** Installs each reloaded certificate in a TLS server. */
  attachServer(server: unknown): void {
    this.subscribe(() =>
      (server as TlsServer).setSecureContext(this.clientOptions())
    );
  }

  /** Calls the listener after a file has changed. */
  subscribe(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Stops watching the files. */
  close(): void {
    for (const file of Object.values(this.#files)) unwatchFile(file);
  }

  /** Ignores errors: a file may be partially written, so the old certificate stays in use until certificate and key match. */
  #notifyListeners(): void {
    try {
      for (const listener of this.#listeners) listener();
    } catch {
      return;
    }
  }
}

/** Resolves the certificate from the settings; returns undefined unless certificate, key and authority are all set. */
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
