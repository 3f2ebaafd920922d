/**
 * Settings of a database instance, read from command-line flags.
 *
 * @module
 */
import { z } from "zod";
import { daemonFlags, readFlags } from "../common/daemon.ts";

const milliseconds = z.coerce.number().min(0).max(3_600_000);

/** Reads and validates the flags; exits with code 2 if one is invalid. */
export function resolveSettings() {
  return readFlags({
    ...daemonFlags,
    /** Name of the instance, unique within its group. */
    name: z.string().min(1),
    /** Availability zone, used only in log lines. */
    zone: z.string().default("zone"),
    user: z.string().min(1).default("marjoramshed"),
    password: z.string().default("marjoramshed"),
    /** Database name that callers must give; if absent, any name is accepted. */
    database: z.string().optional(),
    /** Maximum number of connections, not counting control connections. */
    connections: z.coerce.number().int().min(1).default(20),
    /** Delay before a new connection is accepted, except for control connections, in ms. */
    openDelay: milliseconds.default(12),
    /** Delay between the arrival of an entry and its receipt into the log, in ms. */
    receiveLag: milliseconds.default(0),
    /** Delay between receiving an entry and applying it, in ms. */
    applyLag: milliseconds.default(0),
    /** Maximum time for which a transaction may be idle while others wait, in ms. */
    idleTransactionLimit: milliseconds.default(5_000),
    /** File with SQL that every instance of the group runs when it starts; its changes are not part of the replicated log. */
    initSql: z.string().optional(),
    role: z.enum(["primary", "replica"]).default("replica"),
    /** Name of the instance that a replica follows. */
    sourceName: z.string().default("source"),
    /** Address of the instance that a replica follows, as `host:port`. */
    source: z.string().regex(/^.+:\d+$/).optional(),
    /** File that preserves the highest term seen across restarts; if absent, the term is lost on exit. */
    stateFile: z.string().min(1).optional(),
    /** Term that a primary starts, or that a replica has seen. */
    term: z.coerce.number().int().min(1).default(1),
  });
}

/** Validated settings of an instance. */
export type Settings = ReturnType<typeof resolveSettings>;

/** Instance to replicate from. */
export interface Source {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** Source that the settings name; undefined if they name none. */
export function resolveSource(settings: Settings): Source | undefined {
  if (!settings.source) return undefined;
  const colon = settings.source.lastIndexOf(":");
  return {
    name: settings.sourceName,
    host: settings.source.slice(0, colon),
    port: Number(settings.source.slice(colon + 1)),
  };
}
