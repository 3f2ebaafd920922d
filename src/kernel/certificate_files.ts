/**
 * Loads a certificate, its key and an authority from PEM files.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import { err, ok, type Result } from "neverthrow";

/** Paths of the PEM files. */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
  /** Authority of the other side's certificates; without it none is required. */
  readonly authority?: string;
}

/** Contents of the files, as TLS options. */
export interface LoadedCertificate {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
}

/** Reads the files; fails with the reason if one can't be read or they don't fit together, as while they are being replaced. */
export function loadCertificate(
  { certificate, key, authority }: CertificateFiles,
): Result<LoadedCertificate, string> {
  try {
    const loaded = {
      cert: readFileSync(certificate),
      key: readFileSync(key),
      ...(authority === undefined ? {} : { ca: readFileSync(authority) }),
    };
    createSecureContext(loaded);
    return ok(loaded);
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}
