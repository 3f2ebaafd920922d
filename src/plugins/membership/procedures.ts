/**
 * The procedures between members and the short form of a member in them.
 *
 * @module
 */
import { z } from "zod";
import type { PeerProcedure } from "../peers/peers.ts";
import type { Demand, Liveness, Member } from "./membership.ts";

/** Most members in one message. */
export const UPDATES_LIMIT = 8;
/** Most entries in one page of a digest. */
export const DIGEST_LIMIT = 64;

const LIVENESS: readonly Liveness[] = ["alive", "suspected", "gone"];
const text = z.string().min(1).max(128);
const count = z.number().int().min(0);

/** Database, then instances with the connections wanted. */
const encodedDemand = z.tuple([text, z.array(z.tuple([text, z.number()]))]);

/** Name, zone, endpoint, incarnation, version, revision, leaving, liveness, demands. */
const encodedMember = z.tuple([
  text,
  text,
  text,
  count,
  count,
  count,
  z.union([z.literal(0), z.literal(1)]),
  z.number().int().min(0).max(2),
  z.array(encodedDemand).max(1_024),
]);

/** A member as it travels. */
export type EncodedMember = z.infer<typeof encodedMember>;

/** Name, incarnation, version, liveness. */
const digestEntry = z.tuple([text, count, count, count.max(2)]);

/** A member's version as it travels. */
export type DigestEntry = z.infer<typeof digestEntry>;

const exchangeSchema = z.object({
  /** Name of the side that sends this. */
  from: text,
  /** Checksum of its table. */
  sum: z.number().int(),
  updates: z.array(encodedMember).max(UPDATES_LIMIT + 1),
});

/** One side of an exchange. */
export type ExchangeMessage = z.infer<typeof exchangeSchema>;

/** Probes a member and swaps news with it. */
export const exchange: PeerProcedure<ExchangeMessage, ExchangeMessage> = {
  name: "exchange",
  input: exchangeSchema,
  output: exchangeSchema,
};

/** Asks a member whether it can reach another. */
export const probe: PeerProcedure<{ name: string }, boolean> = {
  name: "probe",
  input: z.object({ name: text }),
  output: z.boolean(),
};

/** A page of a table's versions, by name. */
export interface DigestPage {
  readonly entries: DigestEntry[];
  /** Whether the table holds names after the last one. */
  readonly more: boolean;
}

/** Asks for the versions of the members whose names come after one. */
export const digest: PeerProcedure<{ after: string }, DigestPage> = {
  name: "digest",
  input: z.object({ after: z.string().max(128) }),
  output: z.object({
    entries: z.array(digestEntry).max(DIGEST_LIMIT),
    more: z.boolean(),
  }),
};

/** Asks for members by name. */
export const states: PeerProcedure<{ names: string[] }, EncodedMember[]> = {
  name: "states",
  input: z.object({ names: z.array(text).max(UPDATES_LIMIT) }),
  output: z.array(encodedMember).max(UPDATES_LIMIT),
};

/** Shortens a member. */
export function encodeMember({ state, liveness }: Member): EncodedMember {
  return [
    state.name,
    state.zone,
    state.endpoint,
    state.incarnation,
    state.version,
    state.revision,
    state.leaving ? 1 : 0,
    LIVENESS.indexOf(liveness),
    encodeDemands(state.demands),
  ];
}

/** Reads a member. */
export function decodeMember(encoded: EncodedMember): Member {
  const [name, zone, endpoint, incarnation, version, revision, leaving] =
    encoded;
  return {
    state: {
      name,
      zone,
      endpoint,
      incarnation,
      version,
      revision,
      leaving: leaving === 1,
      demands: decodeDemands(encoded[8]),
    },
    liveness: LIVENESS[encoded[7]] ?? "alive",
  };
}

function encodeDemands(demands: readonly Demand[]): EncodedMember[8] {
  const byDatabase = new Map<string, [string, number][]>();
  for (const { database, instance, wanted } of demands) {
    const items = byDatabase.get(database) ?? [];
    items.push([instance, wanted]);
    byDatabase.set(database, items);
  }
  return [...byDatabase];
}

function decodeDemands(encoded: EncodedMember[8]): readonly Demand[] {
  return encoded.flatMap(([database, items]) =>
    items.map(([instance, wanted]) => ({ database, instance, wanted }))
  );
}
