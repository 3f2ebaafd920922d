/**
 * Verifies callers' passwords against the client accounts in the current document.
 *
 * @module
 */
import { createHmac, randomBytes } from "node:crypto";
import { LRUCache } from "lru-cache";
import type { Configuration } from "../configuration/configuration.ts";
import { verifyPassword } from "../document/password.ts";

const MAX_VERIFIED_COUNT = 10_000;

/** Verifies passwords; caches a keyed hash of each correct one, so that a reconnecting caller does not repeat the key derivation. */
export class Accounts {
  readonly #configuration: Configuration;
  readonly #hmacKey: Buffer = randomBytes(32);
  readonly #verified = new LRUCache<string, true>({ max: MAX_VERIFIED_COUNT });

  constructor(configuration: Configuration) {
    this.#configuration = configuration;
  }

  /** Whether the user has an account with this password and access to the database. */
  async verify(
    user: string,
    password: string,
    database: string,
  ): Promise<boolean> {
    const document = this.#configuration.current()?.document;
    const account = document?.accounts.find((item) => item.name === user);
    if (!account || !account.databases.includes(database)) return false;
    const cacheKey = createHmac("sha256", this.#hmacKey)
      .update(`${user}\0${account.password}\0${password}`)
      .digest("base64");
    if (this.#verified.has(cacheKey)) return true;
    if (!await verifyPassword(password, account.password)) return false;
    this.#verified.set(cacheKey, true);
    return true;
  }
}
