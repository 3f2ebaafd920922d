/**
 * The peer procedures of the membership and the compact encoding of a member.
 *
 * @module
 */
import { z } from "zod";
import type { PeerProcedure } from "../peers/peers.ts";
import type { Demand, Liveness, Member } from "./membership.ts";

/** Maximum number of members in one message, not counting an exchange's entry for its receiver. */
export const UPDATES_LIMIT = 8;
/** Maximum number of entries in one digest page. */
export const DIGEST_ENTRIES_LIMIT = 64;

const LIVENESS_BY_CODE: readonly Liveness[] = ["alive", "suspected", "gone"];
const textSchema = z.string().min(1).max(128);
const countSchema = z.number().int().min(0);

/** Fields in order: database, and for each instance its name and the wanted connections. */
const demandSchema = z.tuple([
  textSchema,
  z.array(z.tuple([textSchema, z.number()])),
]);

/** Fields in order: name, zone, endpoint, incarnation, version, revision, leaving, liveness, demands. */
const memberSchema = z.tuple([
  textSchema,
  textSchema,
  textSchema,
  countSchema,
  countSchema,
  countSchema,
  z.union([z.literal(0), z.literal(1)]),
  z.number().int().min(0).max(2),
  z.array(demandSchema).max(1_024),
]);

/** A member as encoded on the wire. */
export type EncodedMember = z.infer<typeof memberSchema>;

/** Fields in order: name, incarnation, version, liveness. */
const digestEntrySchema = z.tuple([
  textSchema,
  countSchema,
  countSchema,
  countSchema.max(2),
]);

/** A member's version and liveness as encoded on the wire. */
export type DigestEntry = z.infer<typeof digestEntrySchema>;

const exchangeSchema = z.object({
  /** Name of the sender. */
  from: textSchema,
  /** Environment of the sender; missing in the messages of an earlier release. */
  environment: textSchema.optional(),
  /** Checksum of the sender's member table. */
  sum: z.number().int(),
  updates: z.array(memberSchema).max(UPDATES_LIMIT + 1),
});

/** Request or response of an exchange. */
export type ExchangeMessage = z.infer<typeof exchangeSchema>;

/** Probes a member and exchanges updates with it. */
export const exchange: PeerProcedure<ExchangeMessage, ExchangeMessage> = {
  name: "exchange",
  input: exchangeSchema,
  output: exchangeSchema,
};

/** Asks a member whether it can reach another member. */
export const probe: PeerProcedure<{ name: string }, boolean> = {
  name: "probe",
  input: z.object({ name: textSchema }),
  output: z.boolean(),
};

/** A page of a member table's digest, sorted by name. */
export interface DigestPage {
  readonly entries: DigestEntry[];
  /** Whether the table has members after the last entry. */
  readonly more: boolean;
}

/** Requests the digest of the members whose names sort after a given name. */
export const digest: PeerProcedure<{ after: string }, DigestPage> = {
  name: "digest",
  input: z.object({ after: z.string().max(128) }),
  output: z.object({
    entries: z.array(digestEntrySchema).max(DIGEST_ENTRIES_LIMIT),
    more: z.boolean(),
  }),
};

/** Requests members by name. */
export const states: PeerProcedure<{ names: string[] }, EncodedMember[]> = {
  name: "states",
  input: z.object({ names: z.array(textSchema).max(UPDATES_LIMIT) }),
  output: z.array(memberSchema).max(UPDATES_LIMIT),
};

/** Encodes a member for the wire. */
export function encodeMember({ state, liveness }: Member): EncodedMember {
  return [
    state.name,
    state.zone,
    state.endpoint,
    state.incarnation,
    state.version,
    state.revision,
    state.leaving ? 1 : 0,
    LIVENESS_BY_CODE.indexOf(liveness),
    encodeDemands(state.demands),
  ];
}

/** Decodes a member from the wire. */
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
    liveness: LIVENESS_BY_CODE[encoded[7]] ?? "alive",
  };
}

function encodeDemands(demands: readonly Demand[]): EncodedMember[8] {
  const byDatabase = new Map<string, [string, number][]>();
  for (const { database, instance, wanted } of demands) {
    const instances = byDatabase.get(database) ?? [];
    instances.push([instance, wanted]);
    byDatabase.set(database, instances);
  }
  return [...byDatabase];
}

function decodeDemands(encoded: EncodedMember[8]): readonly Demand[] {
  return encoded.flatMap(([database, instances]) =>
    instances.map(([instance, wanted]) => ({ database, instance, wanted }))
  );
}
