/**
 * Faults of the network and what they mean for the path between two hosts.
 *
 * A selector names one side of a path: `{zone}`, `{host}`, `{outside: zone}`
 * for every host that is not in that zone, or `{}` for all. The list of faults
 * holds objects of these kinds:
 * - `{kind: "latency", between: [selector, selector], ms}`: one-way latency in
 *   both directions; the first that matches a path counts;
 * - `{kind: "cut", from, to, ways: "both" | "one", reset}`: drops what `from`
 *   sends to `to`, and with `both` (the default) the other way round. Open
 *   connections turn into black holes, or with `reset: true` are reset; new
 *   connections are accepted and swallowed, or reset;
 * - `{kind: "lose-reply", from, to, connections}`: passes what `from` sends to
 *   `to` on its connections and swallows the answers: on the next N
 *   connections, or without `connections` on all, open ones too.
 *
 * @module
 */
import { z } from "zod";

const selector = z.strictObject({
  zone: z.string().optional(),
  host: z.string().optional(),
  outside: z.string().optional(),
});

const latency = z.strictObject({
  kind: z.literal("latency"),
  between: z.tuple([selector, selector]),
  ms: z.number().min(0),
});

const cut = z.strictObject({
  kind: z.literal("cut"),
  from: selector,
  to: selector,
  ways: z.enum(["both", "one"]).default("both"),
  reset: z.boolean().default(false),
});

const loseReply = z.strictObject({
  kind: z.literal("lose-reply"),
  from: selector,
  to: selector,
  connections: z.number().int().min(1).optional(),
});

/** Schema of the list of faults. */
export const faultListSchema = z.array(
  z.discriminatedUnion("kind", [latency, cut, loseReply]),
);

/** One side of a path. */
export type Selector = Readonly<z.infer<typeof selector>>;
/** One fault, as an operator writes it. */
export type Fault = Readonly<z.input<typeof faultListSchema>[number]>;
type CheckedFault = Readonly<z.infer<typeof faultListSchema>[number]>;

/** A host as the network knows it. */
export interface NetworkHost {
  readonly name: string;
  readonly zone: string;
}

/** What happens on the path of a connection. */
export interface PathState {
  readonly delayMs: number;
  readonly dropsRequests: boolean;
  readonly dropsAnswers: boolean;
  /** Whether the handshake of a new connection can't complete. */
  readonly unreachable: boolean;
  readonly reset: boolean;
}

/** The faults in effect. */
export class FaultTable {
  readonly list: readonly CheckedFault[];
  readonly #remaining = new Map<CheckedFault, number>();

  constructor(list: readonly CheckedFault[]) {
    this.list = list;
    for (const fault of list) {
      if (fault.kind !== "lose-reply" || !fault.connections) continue;
      this.#remaining.set(fault, fault.connections);
    }
  }

  /** The state of the path on which `source` has connected to `target`. */
  path(source: NetworkHost, target: NetworkHost): PathState {
    const cuts = this.list.filter((fault) => fault.kind === "cut");
    const requestCuts = cuts.filter((one) => drops(one, source, target));
    const answerCuts = cuts.filter((one) => drops(one, target, source));
    const relevant = [...requestCuts, ...answerCuts];
    return {
      delayMs: this.#delay(source, target),
      dropsRequests: requestCuts.length > 0,
      dropsAnswers: answerCuts.length > 0 || this.#losesAll(source, target),
      unreachable: relevant.length > 0,
      reset: relevant.some((one) => one.reset),
    };
  }

  /** Whether the answers of a new connection are swallowed; counts the connection. */
  takeLostReply(source: NetworkHost, target: NetworkHost): boolean {
    for (const [fault, remaining] of this.#remaining) {
      if (fault.kind !== "lose-reply" || remaining === 0) continue;
      if (!matches(fault.from, source) || !matches(fault.to, target)) continue;
      this.#remaining.set(fault, remaining - 1);
      return true;
    }
    return false;
  }

  #delay(source: NetworkHost, target: NetworkHost): number {
    for (const fault of this.list) {
      if (fault.kind !== "latency") continue;
      const [a, b] = fault.between;
      const straight = matches(a, source) && matches(b, target);
      const reversed = matches(b, source) && matches(a, target);
      if (straight || reversed) return fault.ms;
    }
    return 0;
  }

  #losesAll(source: NetworkHost, target: NetworkHost): boolean {
    return this.list.some((fault) =>
      fault.kind === "lose-reply" && !fault.connections &&
      matches(fault.from, source) && matches(fault.to, target)
    );
  }
}

function drops(
  fault: z.infer<typeof cut>,
  sender: NetworkHost,
  receiver: NetworkHost,
): boolean {
  if (matches(fault.from, sender) && matches(fault.to, receiver)) return true;
  return fault.ways === "both" &&
    matches(fault.from, receiver) && matches(fault.to, sender);
}

function matches(one: Selector, host: NetworkHost): boolean {
  if (one.zone !== undefined && one.zone !== host.zone) return false;
  if (one.host !== undefined && one.host !== host.name) return false;
  return one.outside === undefined || one.outside !== host.zone;
}
