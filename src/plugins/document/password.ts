/**
 * Hashes and verifies the passwords of callers' accounts with scrypt.
 *
 * @module
 */
import {
  randomBytes,
  scrypt,
  type ScryptOptions,
  timingSafeEqual,
} from "node:crypto";

const COST = 16_384;
const BLOCK_SIZE = 8;
const PARALLELIZATION = 1;
const SALT_BYTES = 16;
const HASH_BYTES = 32;
const MAX_COST = 1_048_576;
const MEMORY_LIMIT_BYTES = 256 * 1024 * 1024;

/** Hashes a password as `scrypt$N$r$p$salt$hash`, salt and hash in base64. */
export async function hashPassword(password: string): Promise<string> {
  const salt = randomBytes(SALT_BYTES);
  const hash = await deriveKey(password, salt, HASH_BYTES, {
    N: COST,
    r: BLOCK_SIZE,
    p: PARALLELIZATION,
  });
  const parameters = `${COST}$${BLOCK_SIZE}$${PARALLELIZATION}`;
  return `scrypt$${parameters}$${salt.toString("base64")}$${
    hash.toString("base64")
  }`;
}

/** Returns whether the password matches the stored hash; false when the hash is malformed. */
export async function verifyPassword(
  password: string,
  stored: string,
): Promise<boolean> {
  const [scheme, cost, blockSize, parallelization, salt, hash] = stored
    .split("$");
  if (scheme !== "scrypt" || salt === undefined || hash === undefined) {
    return false;
  }
  if (Number(cost) > MAX_COST) return false;
  const expected = Buffer.from(hash, "base64");
  if (expected.length === 0) return false;
  try {
    const actual = await deriveKey(
      password,
      Buffer.from(salt, "base64"),
      expected.length,
      { N: Number(cost), r: Number(blockSize), p: Number(parallelization) },
    );
    return timingSafeEqual(actual, expected);
  } catch {
    return false;
  }
}

function deriveKey(
  password: string,
  salt: Buffer,
  length: number,
  options: ScryptOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    scrypt(
      password.normalize("NFKC"),
      salt,
      length,
      { ...options, maxmem: MEMORY_LIMIT_BYTES },
      (error, key) => error ? reject(error) : resolve(key),
    );
  });
}
