/**
 * Writes to the shared rows on behalf of a proxy that the store turns away. A
 * duty that such a proxy has begun is ended through another one, whose calls the
 * store still answers.
 *
 * @module
 */
import * as z from "zod";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { PeerProcedure, Peers } from "../peers/peers.ts";
import type { LiveHost, RowVersion, Written } from "./coordination.ts";

/** An atomic write to the shared rows; takes effect if all rows have the versions in `conditions`. */
export interface SharedWrite {
  /** Required version of each key; 0 if the row must not exist. */
  readonly conditions: Readonly<Record<string, RowVersion>>;
  readonly puts: Readonly<Record<string, unknown>>;
  readonly removals: readonly string[];
}

/** What became of a write that another proxy was asked for. */
export type DelegatedOutcome =
  | ({ readonly kind: "written" } & Written)
  /** The version of a row differed; nothing was written. */
  | { readonly kind: "conflict" }
  /** The other proxy did not get it done; it may still take effect. */
  | { readonly kind: "failed" };

/** Performs the writes that other proxies ask for. */
export interface WritePerformer {
  /** Monotonic ms of the store's latest confirmation, as in `Coordination`. */
  readonly confirmedAt: number;
  perform(write: SharedWrite): Promise<DelegatedOutcome>;
}

/** Timeout of one question, in ms: a call to the store that gets no answer, and its detour. */
const QUESTION_TIMEOUT_MS = 1_300;

/** Number of proxies that are asked in turn. */
const MAX_QUESTIONS = 3;

/** Age of the store's last confirmation up to which a proxy writes for others, in ms: more than one long poll. */
const MAX_CONFIRMATION_AGE_MS = 2_000;

const WRITE: PeerProcedure<SharedWrite, DelegatedOutcome> = {
  name: "leadership.write",
  input: z.object({
    conditions: z.record(z.string(), z.number()),
    puts: z.record(z.string(), z.unknown()),
    removals: z.array(z.string()),
  }),
  output: z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("written"),
      version: z.number(),
      clock: z.number(),
    }),
    z.object({ kind: z.literal("conflict") }),
    z.object({ kind: z.literal("failed") }),
  ]),
};

/** This proxy, and the other proxies that may write for it. */
export interface WriteDelegationOptions {
  readonly proxy: string;
  readonly zone: string | undefined;
  readonly peers: Pick<Peers, "serve" | "call">;
  readonly log: EventLog;
}

/** Asks other proxies for writes, and performs theirs. */
export class WriteDelegation {
  readonly #options: WriteDelegationOptions;

  constructor(options: WriteDelegationOptions) {
    this.#options = options;
  }

  /** Lets a performer write for other proxies while the store answers this one. */
  serve(performer: WritePerformer): void {
    this.#options.peers.serve(WRITE, async (write) => {
      const age = clock.now() - performer.confirmedAt;
      if (age > MAX_CONFIRMATION_AGE_MS) return { kind: "failed" };
      return await performer.perform(write);
    });
  }

  /** Asks proxies in turn until one has an outcome. */
  async delegate(
    write: SharedWrite,
    hosts: readonly LiveHost[],
  ): Promise<DelegatedOutcome> {
    const { peers, log } = this.#options;
    for (const { name, address } of this.#choose(hosts)) {
      const answer = await peers
        .call(address, WRITE, write, QUESTION_TIMEOUT_MS);
      const outcome: DelegatedOutcome = answer.isOk()
        ? answer.value
        : { kind: "failed" };
      log.write(Events.STORE_WRITE_DELEGATED, {
        peer: name,
        keys: Object.keys(write.puts),
        outcome: outcome.kind,
      });
      if (outcome.kind !== "failed") return outcome;
    }
    return { kind: "failed" };
  }

  /** Proxies of other zones first: the store may turn a whole zone away. */
  #choose(hosts: readonly LiveHost[]): readonly LiveHost[] {
    const { proxy, zone } = this.#options;
    const others = hosts.filter(({ name }) => name !== proxy)
      .map((host) => ({ host, order: Math.random() }))
      .sort((a, b) =>
        Number(a.host.zone === zone) - Number(b.host.zone === zone) ||
        a.order - b.order
      );
    return others.slice(0, MAX_QUESTIONS).map(({ host }) => host);
  }
}
