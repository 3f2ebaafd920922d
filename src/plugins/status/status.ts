/**
 * What a proxy reports of itself when it is asked: the revision in force, its
 * peers, the groups and its connections.
 *
 * @module
 */
import { z } from "zod";
import type { PeerProcedure } from "../peers/peers.ts";

const instanceReport = z.object({
  name: z.string(),
  zone: z.string(),
  /** Undefined before the first status of the instance. */
  role: z.enum(["primary", "replica", "fenced"]).optional(),
  usable: z.boolean(),
  leaving: z.boolean(),
  slow: z.boolean(),
  /** Upper bound of the age of its data in ms; null when nothing is known. */
  ageMs: z.number().nullable(),
});

const groupReport = z.object({
  database: z.string(),
  /** Null while no primary is known. */
  primary: z.string().nullable(),
  term: z.number(),
  receiveLagMs: z.number(),
  instances: z.array(instanceReport),
});

const memberReport = z.object({
  name: z.string(),
  zone: z.string(),
  liveness: z.enum(["alive", "suspected", "gone"]),
  leaving: z.boolean(),
  revision: z.number(),
});

const connectionReport = z.object({
  database: z.string(),
  instance: z.string(),
  open: z.number(),
  busy: z.number(),
  waiting: z.number(),
  share: z.number(),
});

const reportSchema = z.object({
  name: z.string(),
  zone: z.string(),
  environment: z.string(),
  /** Revision in force; 0 for none. */
  revision: z.number(),
  /** Null while no revision is in force. */
  hash: z.string().nullable(),
  members: z.array(memberReport),
  groups: z.array(groupReport),
  connections: z.array(connectionReport),
});

/** Report of one proxy. */
export type ProxyReport = z.infer<typeof reportSchema>;
/** Report of one database group. */
export type GroupReport = z.infer<typeof groupReport>;

/** Asks a proxy for its report. */
export const statusProcedure: PeerProcedure<
  Record<string, never>,
  ProxyReport
> = {
  name: "status",
  input: z.record(z.string(), z.never()),
  output: reportSchema,
};

declare module "../../kernel/kernel.ts" {
  interface Services {
    status: { report(): ProxyReport };
  }
}
