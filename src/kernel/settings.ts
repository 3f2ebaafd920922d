/**
 * Settings of the proxy: flags and environment variables, validated by one schema.
 * A flag overrides its environment variable.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure, type Failure, ResultCodes } from "./result_codes.ts";

const port = z.coerce.number().int().min(0).max(65535);
const milliseconds = z.coerce.number().int().min(1).max(3_600_000);
const file = z.string().min(1).optional();
const url = z.url();

/** Maximum length of a text that other proxies get, in characters; they refuse messages with a longer one. */
const SHARED_TEXT_MAX_LENGTH = 128;

/** Schema of the settings; each key is its flag's name in camel case. */
export const settingsSchema = z.strictObject({
  /** Name of this proxy, unique in its environment. */
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  /** Availability zone of this proxy. */
  zone: z.string().min(1).max(SHARED_TEXT_MAX_LENGTH),
  /** Environment of the document that this proxy serves. */
  environment: z.string().min(1).max(SHARED_TEXT_MAX_LENGTH)
    .default("production"),
  /** IP address to listen on and to connect from. */
  address: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
  /** Port for callers; 0 selects a free one. */
  port: port.default(6432),
  /** Port for peers; 0 selects a free one. */
  peerPort: port.default(6433),
  /** Host and port at which peers reach this proxy; defaults to the address and the peer port. */
  peerEndpoint: z.string().max(SHARED_TEXT_MAX_LENGTH).regex(/^.+:\d+$/)
    .optional(),
  /** Port for metrics over HTTP; 0 selects a free one. */
  metricsPort: port.default(0),
  /** URL of the table service. */
  tableService: url,
  /** Table that holds the revision heads and the group records. */
  table: z.string().min(1).default("marjoramshed"),
  /** URL of the object store. */
  objectStore: url,
  /** Bucket that holds the document's revisions. */
  bucket: z.string().min(1).default("marjoramshed"),
  /** URL of the host list. */
  hostList: url,
  /** Access key of the platform. */
  platformKey: z.string().default("marjoramshed"),
  /** Secret of the platform. */
  platformSecret: z.string().default("marjoramshed"),
  /** Shared key of all proxies of the environment, at least 16 characters. */
  peerKey: z.string().min(16),
  /** The previous shared key, accepted during key rotation. */
  peerKeyBefore: z.string().min(16).optional(),
  /** User name for the upstreams. */
  upstreamUser: z.string().min(1).default("marjoramshed"),
  /** Password for the upstreams. */
  upstreamPassword: z.string().default("marjoramshed"),
  /** Maximum number of concurrently connected callers. */
  callerLimit: z.coerce.number().int().min(1).max(1_000_000).default(20_000),
  /** Routing policy: session, primary, or sticky (primary for a fixed time after a write). */
  policy: z.enum(["session", "primary", "sticky"]).default("session"),
  /** Time limit of a graceful shutdown, in ms. */
  stopDeadline: milliseconds.default(20_000),
  /** Lowest severity that is logged. */
  logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"])
    .default("info"),
  /** TLS certificate and key for connections of callers, PEM files. */
  callerCertificate: file,
  callerKey: file,
  /** TLS certificate, key and certificate authority for peers, PEM files. */
  peerCertificate: file,
  peerCertificateKey: file,
  peerAuthority: file,
  /** Certificate authority of the upstreams, a PEM file; enables TLS to upstreams. */
  upstreamAuthority: file,
});

/** Validated settings. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** Returns the flag of a setting: `peerKey` is `--peer-key`. */
export function flagOf(key: string): string {
  return "--" + key.replace(/[A-Z]/g, (letter) => "-" + letter.toLowerCase());
}

/** Returns the environment variable of a setting: `peerKey` is `MARJORAMSHED_PEER_KEY`. */
export function variableOf(key: string): string {
  return "MARJORAMSHED_" +
    key.replace(/[A-Z]/g, (letter) => "_" + letter).toUpperCase();
}

/** Resolves settings from command-line arguments and environment variables; fails with SETTING_INVALID on the first invalid one. */
export function resolveSettings(
  args: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): Result<Settings, Failure> {
  const keys = Object.keys(settingsSchema.shape);
  const flags = readFlags(args, keys);
  if (flags.isErr()) return err(flags.error);
  const given = Object.fromEntries(
    keys.map((key) => [key, flags.value[flagOf(key).slice(2)]]),
  );
  return checkSettings(settingsSchema, given, environment);
}

/** Validates settings by a schema whose keys are setting names; missing ones are read from environment variables. Fails with SETTING_INVALID. */
export function checkSettings<Shape extends z.ZodRawShape>(
  schema: z.ZodObject<Shape>,
  given: Readonly<Record<string, string | undefined>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<Readonly<z.infer<z.ZodObject<Shape>>>, Failure> {
  const raw: Record<string, string> = {};
  for (const key of Object.keys(schema.shape)) {
    const value = given[key] ?? environment[variableOf(key)];
    if (value !== undefined) raw[key] = value;
  }
  const parsed = schema.safeParse(raw);
  if (parsed.success) return ok(Object.freeze(parsed.data));
  const issue = parsed.error.issues[0];
  const key = String(issue?.path[0] ?? "");
  const found = raw[key] === undefined ? "nothing" : JSON.stringify(raw[key]);
  return err(createFailure(
    ResultCodes.SETTING_INVALID,
    `${flagOf(key)} (${variableOf(key)}): ${
      issue?.message ?? "invalid"
    }; found ${found}`,
  ));
}

function readFlags(
  args: readonly string[],
  keys: readonly string[],
): Result<Readonly<Record<string, string | undefined>>, Failure> {
  const options = Object.fromEntries(
    keys.map((key) => [flagOf(key).slice(2), { type: "string" as const }]),
  );
  try {
    return ok(parseArgs({ args: [...args], options, strict: true }).values);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return err(
      createFailure(
        ResultCodes.SETTING_INVALID,
        message.split("\n")[0] ?? message,
      ),
    );
  }
}
