/**
 * Settings of a database instance, from flags.
 *
 * @module
 */
import { z } from "zod";
import { daemonFlags, readFlags } from "../common/daemon.ts";

const milliseconds = z.coerce.number().min(0).max(3_600_000);

/** Reads the flags; a wrong one ends the process with code 2. */
export function resolveSettings() {
  return readFlags({
    ...daemonFlags,
    /** Name of the instance, unique in its group. */
    name: z.string().min(1),
    /** Availability zone, for the log only. */
    zone: z.string().default("zone"),
    user: z.string().min(1).default("marjoramshed"),
    password: z.string().default("marjoramshed"),
    /** Name under which callers open the database; any name when left out. */
    database: z.string().optional(),
    /** Ordinary connections at most. */
    connections: z.coerce.number().int().min(1).default(20),
    /** Time until a new ordinary connection is accepted, in ms. */
    openDelay: milliseconds.default(12),
    /** Time until an entry that arrived counts as received, in ms. */
    receiveLag: milliseconds.default(0),
    /** Time until a received entry is applied, in ms. */
    applyLag: milliseconds.default(0),
    /** How long a transaction may be idle while others wait, in ms. */
    idleTransactionLimit: milliseconds.default(5_000),
    /** SQL that every instance of the group runs at its start; not in the log. */
    initSql: z.string().optional(),
    role: z.enum(["primary", "replica"]).default("replica"),
    /** Name of the instance that a replica follows. */
    sourceName: z.string().default("source"),
    /** Host and port of the instance that a replica follows. */
    source: z.string().regex(/^.+:\d+$/).optional(),
    /** File that keeps the highest term seen over a restart; none when left out. */
    stateFile: z.string().min(1).optional(),
    /** Term that a primary starts with, or that a replica has seen. */
    term: z.coerce.number().int().min(1).default(1),
  });
}

/** Checked settings. */
export type Settings = ReturnType<typeof resolveSettings>;

/** Host and port of an instance to follow. */
export interface Source {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** The source that the flags name. */
export function resolveSource(settings: Settings): Source | undefined {
  if (!settings.source) return undefined;
  const colon = settings.source.lastIndexOf(":");
  return {
    name: settings.sourceName,
    host: settings.source.slice(0, colon),
    port: Number(settings.source.slice(colon + 1)),
  };
}
