/**
 * The operators' document: its schema and its read-only types.
 *
 * @module
 */
import { z } from "zod";

const name = z.string().regex(
  /^[a-z0-9][a-z0-9_-]{0,62}$/,
  "expected lower case letters, digits, - and _, at most 63",
);

const DURATION = /^(\d{1,7})(ms|s|m|h)$/;
const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/** A duration such as `250ms`, `2s`, `5m` or `24h`; becomes a number of ms. */
const duration = z.string().regex(
  DURATION,
  "expected a duration such as 250ms, 2s, 5m or 24h",
).transform((text) => {
  const match = DURATION.exec(text)!;
  return Number(match[1]) * UNIT_MS[match[2]!]!;
});

const instance = z.strictObject({
  name,
  zone: name,
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65535),
});

const readKind = z.strictObject({
  name,
  /** Greatest age of the data that this kind of read accepts. */
  maxAge: duration,
  /** Reads that touch only these tables belong to the kind. */
  tables: z.array(z.string().min(1)).default([]),
});

const reads = z.strictObject({
  /** Greatest age of the data for a read of no kind; read-your-writes holds in any case. */
  maxAge: duration.prefault("10s"),
  /** How long a read may wait for a replica to apply its position before it takes the primary. */
  catchUpWait: duration.prefault("250ms"),
  kinds: z.array(readKind).default([]),
});

const writes = z.strictObject({
  /** `majority` loses nothing that was acknowledged; `primary` may lose its last moments in a failover. */
  acknowledge: z.enum(["majority", "primary"]).default("majority"),
  /** Longest wait for the acknowledgement; after it the outcome is unknown. */
  acknowledgeDeadline: duration.prefault("2s"),
  /** Class of the database's writes when load is shed. */
  priority: z.enum(["high", "normal"]).default("high"),
});

const queue = z.strictObject({
  /** Most statements of one proxy that wait for a connection. */
  length: z.number().int().min(1).max(100_000).default(2_000),
  /** Longest wait of a statement for a connection or a primary. */
  deadline: duration.prefault("5s"),
});

const ledger = z.strictObject({
  /** How long the answer to a request id is kept. */
  keep: duration.prefault("24h"),
});

const group = z.strictObject({
  /** Name of the database group; callers open the database under it. */
  database: name,
  instances: z.array(instance).min(1).max(9),
  /** Connections that each instance grants to all proxies together. */
  connectionsPerInstance: z.number().int().min(1).max(10_000),
  /** Instance that should lead; a change of it is a planned change of primary. */
  preferredPrimary: name.optional(),
  reads: reads.prefault({}),
  writes: writes.prefault({}),
  queue: queue.prefault({}),
  ledger: ledger.prefault({}),
}).superRefine((value, context) => {
  const names = value.instances.map((item) => item.name);
  reportRepeated(names, ["instances"], context);
  if (value.preferredPrimary && !names.includes(value.preferredPrimary)) {
    context.addIssue({
      code: "custom",
      path: ["preferredPrimary"],
      message: `expected one of ${names.join(", ")}`,
    });
  }
});

const proxy = z.strictObject({ name, zone: name });

const environment = z.strictObject({
  zones: z.array(name).min(1),
  proxies: z.array(proxy).min(1),
  groups: z.array(group).min(1),
}).superRefine((value, context) => {
  reportRepeated(value.proxies.map((item) => item.name), ["proxies"], context);
  reportRepeated(
    value.groups.map((item) => item.database),
    ["groups"],
    context,
  );
  const zones = new Set(value.zones);
  value.proxies.forEach((item, index) => {
    if (zones.has(item.zone)) return;
    reportZone(["proxies", index, "zone"], value.zones, context);
  });
  value.groups.forEach((item, index) => {
    item.instances.forEach((one, place) => {
      if (zones.has(one.zone)) return;
      const path = ["groups", index, "instances", place, "zone"];
      reportZone(path, value.zones, context);
    });
  });
});

const account = z.strictObject({
  name,
  /** `scrypt$N$r$p$salt$hash`, salt and hash in base64. */
  password: z.string().regex(
    /^scrypt\$\d+\$\d+\$\d+\$[A-Za-z0-9+/=]+\$[A-Za-z0-9+/=]+$/,
    "expected a hash as `marjoramshed account hash` prints it",
  ),
  /** Databases that the account may open. */
  databases: z.array(name).min(1),
});

/** Schema of the document. */
export const documentSchema = z.strictObject({
  service: name,
  accounts: z.array(account).min(1),
  environments: z.record(name, environment),
}).superRefine((value, context) => {
  reportRepeated(
    value.accounts.map((item) => item.name),
    ["accounts"],
    context,
  );
  const databases = new Set(
    Object.values(value.environments)
      .flatMap((item) => item.groups.map((one) => one.database)),
  );
  value.accounts.forEach((item, index) => {
    item.databases.forEach((one, place) => {
      if (databases.has(one)) return;
      context.addIssue({
        code: "custom",
        path: ["accounts", index, "databases", place],
        message: `expected one of the databases ${[...databases].join(", ")}`,
      });
    });
  });
});

/** The operators' document, checked; all durations in ms. */
export type Document = DeepReadonly<z.infer<typeof documentSchema>>;
/** One environment of the document. */
export type Environment = Document["environments"][string];
/** One database group. */
export type Group = Environment["groups"][number];
/** One instance of a database group. */
export type Instance = Group["instances"][number];
/** A kind of read with the greatest age of data that it accepts, in ms. */
export type ReadKind = Group["reads"]["kinds"][number];
/** A caller's account. */
export type Account = Document["accounts"][number];

/** A document that was accepted under a number; numbers only grow within an environment. */
export interface Revision {
  readonly environment: string;
  readonly number: number;
  /** SHA-256 of the document's text, hexadecimal. */
  readonly hash: string;
  readonly document: Document;
}

/** Makes a type read-only at every depth. */
export type DeepReadonly<T> = T extends (infer Item)[]
  ? readonly DeepReadonly<Item>[]
  : T extends object ? { readonly [K in keyof T]: DeepReadonly<T[K]> }
  : T;

function reportRepeated(
  names: readonly string[],
  path: (string | number)[],
  context: z.RefinementCtx,
): void {
  names.forEach((item, index) => {
    if (names.indexOf(item) === index) return;
    context.addIssue({
      code: "custom",
      path: [...path, index],
      message: `expected a name used once, found ${item} again`,
    });
  });
}

function reportZone(
  path: (string | number)[],
  zones: readonly string[],
  context: z.RefinementCtx,
): void {
  context.addIssue({
    code: "custom",
    path,
    message: `expected one of the zones ${zones.join(", ")}`,
  });
}
