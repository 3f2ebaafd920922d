/**
 * Schema of a proxy's status report: the revision in force, the members, the
 * database groups and the connections to instances.
 *
 * @module
 */
import { z } from "zod";
import type { PeerProcedure } from "../peers/peers.ts";

const instanceReportSchema = z.object({
  name: z.string(),
  zone: z.string(),
  /** Undefined until the instance has reported a status. */
  role: z.enum(["primary", "replica", "fenced"]).optional(),
  usable: z.boolean(),
  leaving: z.boolean(),
  slow: z.boolean(),
  /** Upper bound of the age of the instance's data in ms; null when unknown. */
  ageMs: z.number().nullable(),
});

const groupReportSchema = z.object({
  database: z.string(),
  /** Name of the primary; null while none is known. */
  primary: z.string().nullable(),
  term: z.number(),
  receiveLagMs: z.number(),
  instances: z.array(instanceReportSchema),
});

const memberReportSchema = z.object({
  name: z.string(),
  zone: z.string(),
  liveness: z.enum(["alive", "suspected", "gone"]),
  leaving: z.boolean(),
  revision: z.number(),
});

const connectionReportSchema = z.object({
  database: z.string(),
  instance: z.string(),
  open: z.number(),
  busy: z.number(),
  waiting: z.number(),
  share: z.number(),
});

const proxyReportSchema = z.object({
  name: z.string(),
  zone: z.string(),
  environment: z.string(),
  /** Number of the revision in force; 0 for none. */
  revision: z.number(),
  /** Hash of the revision in force; null for none. */
  hash: z.string().nullable(),
  members: z.array(memberReportSchema),
  groups: z.array(groupReportSchema),
  connections: z.array(connectionReportSchema),
});

/** Status report of a proxy. */
export type ProxyReport = z.infer<typeof proxyReportSchema>;
/** Status report of a database group. */
export type GroupReport = z.infer<typeof groupReportSchema>;

/** Peer procedure that returns a proxy's status report. */
export const statusProcedure: PeerProcedure<
  Record<string, never>,
  ProxyReport
> = {
  name: "status",
  input: z.record(z.string(), z.never()),
  output: proxyReportSchema,
};

declare module "../../kernel/kernel.ts" {
  interface Services {
    status: { report(): ProxyReport };
  }
}
