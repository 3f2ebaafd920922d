/**
 * Schema and read-only types of the configuration document that operators write.
 *
 * @module
 */
import { z } from "zod";

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9_-]{0,62}$/,
  "expected lower case letters, digits, - and _, at most 63",
);

const DURATION_PATTERN = /^(\d{1,7})(ms|s|m|h)$/;
const MS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/** A duration such as `250ms`, `2s`, `5m` or `24h`, converted to ms. */
const durationSchema = z.string().regex(
  DURATION_PATTERN,
  "expected a duration such as 250ms, 2s, 5m or 24h",
).transform((text) => {
  const match = DURATION_PATTERN.exec(text)!;
  return Number(match[1]) * MS_PER_UNIT[match[2]!]!;
});

const instanceSchema = z.strictObject({
  name: nameSchema,
  zone: nameSchema,
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65535),
});

const readKindSchema = z.strictObject({
  name: nameSchema,
  /** Maximum staleness of the data that this kind of read accepts. */
  maxAge: durationSchema,
  /** A read belongs to this kind when it uses only these tables. */
  tables: z.array(z.string().min(1)).default([]),
});

const readsSchema = z.strictObject({
  /** Maximum staleness for a read that matches no kind; read-your-writes always holds. */
  maxAge: durationSchema.prefault("10s"),
  /** Maximum time a read waits for a replica to apply its position before it falls back to the primary. */
  catchUpWait: durationSchema.prefault("250ms"),
  kinds: z.array(readKindSchema).default([]),
});

const writesSchema = z.strictObject({
  /** `majority` never loses acknowledged writes; `primary` may lose the most recent ones in a failover. */
  acknowledge: z.enum(["majority", "primary"]).default("majority"),
  /** Maximum wait for the acknowledgement; afterwards the outcome of the write is unknown. */
  acknowledgeDeadline: durationSchema.prefault("2s"),
  /** Priority of the database's writes during load shedding. */
  priority: z.enum(["high", "normal"]).default("high"),
});

const queueSchema = z.strictObject({
  /** Maximum number of statements that wait for a connection in one proxy. */
  length: z.number().int().min(1).max(100_000).default(2_000),
  /** Maximum time a statement waits for a connection or a primary. */
  deadline: durationSchema.prefault("5s"),
});

const ledgerSchema = z.strictObject({
  /** Retention time of the recorded answer to a request id. */
  keep: durationSchema.prefault("24h"),
});

const groupSchema = z.strictObject({
  /** Name of the database group, under which callers open the database. */
  database: nameSchema,
  instances: z.array(instanceSchema).min(1).max(9),
  /** Maximum number of connections to each instance, summed over all proxies. */
  connectionsPerInstance: z.number().int().min(1).max(10_000),
  /** Instance that should be the primary; changing it starts a planned switchover. */
  preferredPrimary: nameSchema.optional(),
  reads: readsSchema.prefault({}),
  writes: writesSchema.prefault({}),
  queue: queueSchema.prefault({}),
  ledger: ledgerSchema.prefault({}),
}).superRefine((value, context) => {
  const names = value.instances.map((instance) => instance.name);
  reportDuplicates(names, ["instances"], context);
  if (value.preferredPrimary && !names.includes(value.preferredPrimary)) {
    reportUnknownName(
      ["preferredPrimary"],
      { what: "", known: names },
      context,
    );
  }
});

const proxySchema = z.strictObject({ name: nameSchema, zone: nameSchema });

const environmentSchema = z.strictObject({
  zones: z.array(nameSchema).min(1),
  proxies: z.array(proxySchema).min(1),
  groups: z.array(groupSchema).min(1),
}).superRefine((value, context) => {
  reportDuplicates(
    value.proxies.map((proxy) => proxy.name),
    ["proxies"],
    context,
  );
  reportDuplicates(
    value.groups.map((group) => group.database),
    ["groups"],
    context,
  );
  const zones = new Set(value.zones);
  const unknownZone = { what: "the zones ", known: value.zones };
  value.proxies.forEach((proxy, index) => {
    if (zones.has(proxy.zone)) return;
    reportUnknownName(["proxies", index, "zone"], unknownZone, context);
  });
  value.groups.forEach((group, groupIndex) => {
    group.instances.forEach((instance, instanceIndex) => {
      if (zones.has(instance.zone)) return;
      const path = ["groups", groupIndex, "instances", instanceIndex, "zone"];
      reportUnknownName(path, unknownZone, context);
    });
  });
});

/** Most operations that a quota can state, far above what a group can serve; a larger figure is a mistake. */
const MAX_QUOTA_OPERATIONS = 1_000_000;

const RATE_MESSAGE =
  `expected operations a second, above 0 and at most ${MAX_QUOTA_OPERATIONS}`;
const BURST_MESSAGE =
  `expected a whole number of operations from 1 to ${MAX_QUOTA_OPERATIONS}`;

const quotaSchema = z.strictObject({
  /** Operations a second, over all proxies together. */
  rate: z.number(RATE_MESSAGE).positive(RATE_MESSAGE)
    .max(MAX_QUOTA_OPERATIONS, RATE_MESSAGE),
  /** Operations that may run at once after a pause, over all proxies together; default is one second of the rate. */
  burst: z.number(BURST_MESSAGE).int(BURST_MESSAGE).min(1, BURST_MESSAGE)
    .max(MAX_QUOTA_OPERATIONS, BURST_MESSAGE).optional(),
}).transform(({ rate, burst }) => ({ rate, burst: burst ?? Math.ceil(rate) }));

const accountSchema = z.strictObject({
  name: nameSchema,
  /** `scrypt$N$r$p$salt$hash`, salt and hash in base64. */
  password: z.string().regex(
    /^scrypt\$\d+\$\d+\$\d+\$[A-Za-z0-9+/=]+\$[A-Za-z0-9+/=]+$/,
    "expected a hash as `marjoramshed account hash` prints it",
  ),
  /** Databases that the account may open. */
  databases: z.array(nameSchema).min(1),
  /** Limit of the operations of the account's callers; unlimited if it is left out. */
  quota: quotaSchema.optional(),
});

/** Schema of the configuration document. */
export const documentSchema = z.strictObject({
  service: nameSchema,
  accounts: z.array(accountSchema).min(1),
  environments: z.record(nameSchema, environmentSchema),
}).superRefine((value, context) => {
  reportDuplicates(
    value.accounts.map((account) => account.name),
    ["accounts"],
    context,
  );
  const databases = new Set(
    Object.values(value.environments)
      .flatMap((environment) =>
        environment.groups.map((group) => group.database)
      ),
  );
  const unknownDatabase = { what: "the databases ", known: [...databases] };
  value.accounts.forEach((account, accountIndex) => {
    account.databases.forEach((database, databaseIndex) => {
      if (databases.has(database)) return;
      const path = ["accounts", accountIndex, "databases", databaseIndex];
      reportUnknownName(path, unknownDatabase, context);
    });
  });
});

/** A validated configuration document; all durations are in ms. */
export type Document = DeepReadonly<z.infer<typeof documentSchema>>;
/** One environment of the document. */
export type Environment = Document["environments"][string];
/** One database group. */
export type Group = Environment["groups"][number];
/** One instance of a database group. */
export type Instance = Group["instances"][number];
/** A kind of read with the maximum staleness that it accepts, in ms. */
export type ReadKind = Group["reads"]["kinds"][number];
/** An account that callers log in with. */
export type Account = Document["accounts"][number];

/** A document that was accepted under a revision number; numbers increase within an environment. */
export interface Revision {
  readonly environment: string;
  readonly number: number;
  /** SHA-256 of the document's text, in hexadecimal. */
  readonly hash: string;
  readonly document: Document;
}

/** Makes a type read-only at every depth. */
export type DeepReadonly<T> = T extends (infer Item)[]
  ? readonly DeepReadonly<Item>[]
  : T extends object ? { readonly [K in keyof T]: DeepReadonly<T[K]> }
  : T;

/** What an issue tells about a name that refers to nothing. */
export interface UnknownName {
  /** What the known names are, such as `the zones `. */
  readonly what: string;
  readonly known: readonly string[];
}

/** What an issue tells about a name that is listed before. */
export interface DuplicateName {
  readonly duplicate: string;
}

function reportDuplicates(
  names: readonly string[],
  path: (string | number)[],
  context: z.RefinementCtx,
): void {
  const seen = new Set<string>();
  names.forEach((name, index) => {
    if (seen.has(name)) {
      const params: DuplicateName = { duplicate: name };
      context.addIssue({
        code: "custom",
        path: [...path, index],
        message: "expected a unique name",
        params: { ...params },
      });
    }
    seen.add(name);
  });
}

/** The names are listed when the issue is described, since thousands of issues may have thousands of them. */
function reportUnknownName(
  path: (string | number)[],
  { what, known }: UnknownName,
  context: z.RefinementCtx,
): void {
  context.addIssue({
    code: "custom",
    path,
    message: "expected a known name",
    params: { what, known },
  });
}
