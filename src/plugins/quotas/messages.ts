/**
 * Messages between hosts and coordinators. They are arrays without names of
 * fields, since a host sends several in each second.
 *
 * @module
 */
import type { Handover } from "./part.ts";

/** Kinds of messages. */
export const MessageKinds = {
  /** Call of a host: delegates its part and asks for tokens. */
  ASK: "quota",
  /** Call: whether a host answers; gives a stamp of its clock. */
  HELLO: "quota-hello",
  /** Message of a coordinator to a host without work: asks for its part. */
  WAKE: "quota-wake",
  /** Call of a new host: whether all others count it. */
  JOIN: "quota-join",
  /** Call: the version of the rows that a host knows. */
  ROWS: "quota-rows",
} as const;

/** In place of a number of parts: the request leaves the delegation as it is, or ends it. */
export const UNCHANGED = 0;
export const RELEASED = -1;

/** In place of a number of tokens: none, and those that the host has left don't live on. */
const NOT_EXTENDED = -1;

/** Shards that a message may name. */
const MAX_SHARD_COUNT = 1_000;
const SHARD_PATTERN = /^(\d{1,4}):(\d{1,4})$/;

/** Digits behind the point of amounts in messages. */
const AMOUNT_PRECISION = 1_000;

/** What a host wants for one account. */
export interface Want {
  readonly id: string;
  /** Tokens of the coordinator that the host has left. */
  readonly unused: number;
  readonly waiting: number;
  readonly stock: number;
}

/** A host's request to a coordinator. */
export interface Ask {
  readonly shard: string;
  /** Identifies the run of the host's process. */
  readonly life: string;
  /** Grows with each request of that run to any coordinator of the shard. */
  readonly sequence: number;
  /** Life of the coordinator that the host takes this one for; empty if it knows none. */
  readonly coordinatorLife: string;
  /** Number of parts that the host counts if it delegates its own, else `UNCHANGED` or `RELEASED`. */
  readonly parts: number;
  /** Earliest time that the coordinator's clock can show when the request is sent. */
  readonly sentAt: number;
  readonly handover: Handover | undefined;
  readonly wants: readonly Want[];
}

/** What a coordinator gives for one account. */
export interface Grant {
  readonly id: string;
  readonly granted: number;
  /** Whether the tokens that the host has left live on; false only if none were granted. */
  readonly extended: boolean;
  /** Time in ms after which the host may ask again for operations without a token. */
  readonly pause: number;
  /** Whether these operations should wait, since tokens are expected from other hosts. */
  readonly expected: boolean;
}

/** A coordinator's answer. */
export interface Answer {
  /** Identifies the run of the coordinator's process. */
  readonly life: string;
  /** Host that coordinates the shard from now on; undefined if this one goes on. */
  readonly successor: string | undefined;
  readonly grants: readonly Grant[];
  /** What the part of a host that has ended its delegation gets back. */
  readonly handover?: Handover;
}

/** A coordinator's request for the part of a host without work. */
export interface Wake {
  readonly shard: string;
  readonly life: string;
  /** The coordinator's clock. */
  readonly stamp: number;
  /** Time in ms for which the part is needed. */
  readonly duration: number;
}

/** Answer to a host that wants to join. */
export interface JoinAnswer {
  readonly joined: boolean;
  /** Number of parts that the asked host counts. */
  readonly parts: number;
}

/** Formats a request. */
export function formatAsk(ask: Ask): unknown {
  const { handover } = ask;
  return [
    ask.shard,
    ask.life,
    ask.sequence,
    ask.coordinatorLife,
    ask.parts,
    // Rounded down: the coordinator counts the delegation from this time.
    Math.floor(ask.sentAt),
    formatHandover(handover),
    ask.wants.map(({ id, unused, waiting, stock }) => [
      id,
      unused,
      waiting,
      stock,
    ]),
  ];
}

/** Parses a request; undefined if it has another form. */
export function parseAsk(body: unknown): Ask | undefined {
  if (!Array.isArray(body)) return undefined;
  const [shard, life, sequence, coordinatorLife, parts, sentAt, handed, list] =
    body;
  if (!isShard(shard) || !isText(life) || !isText(coordinatorLife)) return;
  if (!isAmount(sequence) || !isAmount(sentAt)) return undefined;
  if (!isAmount(parts) && parts !== RELEASED) return undefined;
  const handover = handed === 0 ? undefined : parseHandover(handed);
  if (handed !== 0 && !handover) return undefined;
  const wants = parseList(
    list,
    ([id, unused, waiting, stock]) =>
      isText(id) && isAmount(unused) && isAmount(waiting) && isAmount(stock)
        ? { id, unused, waiting, stock }
        : undefined,
  );
  if (!wants) return undefined;
  return {
    shard,
    life,
    sequence,
    coordinatorLife,
    parts,
    sentAt,
    handover,
    wants,
  };
}

/** Formats an answer. */
export function formatAnswer(answer: Answer): unknown {
  const { life, successor, handover } = answer;
  const grants = answer.grants.map((grant) => {
    const { id, extended, pause, expected } = grant;
    const granted = extended ? grant.granted : NOT_EXTENDED;
    if (pause === 0) return [id, granted];
    return [id, granted, Math.ceil(pause) * (expected ? -1 : 1)];
  });
  const fields = [life, successor ?? 0, grants];
  return handover ? [...fields, formatHandover(handover)] : fields;
}

/** Parses an answer; undefined if it has another form. */
export function parseAnswer(body: unknown): Answer | undefined {
  if (!Array.isArray(body)) return undefined;
  const [life, successor, list, handed = 0] = body;
  if (!isText(life) || (successor !== 0 && !isText(successor))) return;
  const handover = handed === 0 ? undefined : parseHandover(handed);
  const grants = parseList(list, ([id, granted, pause = 0]) => {
    if (!isText(id) || !Number.isFinite(pause)) return undefined;
    const extended = granted !== NOT_EXTENDED;
    if (extended && !isAmount(granted)) return undefined;
    return {
      id,
      granted: extended ? granted : 0,
      extended,
      pause: Math.abs(pause),
      expected: pause < 0,
    };
  });
  if (!grants) return undefined;
  return {
    life,
    successor: successor === 0 ? undefined : successor,
    grants,
    handover,
  };
}

/** Formats a coordinator's request for a part. */
export function formatWake(wake: Wake): unknown {
  return [wake.shard, wake.life, Math.floor(wake.stamp), wake.duration];
}

/** Parses a coordinator's request for a part; undefined if it has another form. */
export function parseWake(body: unknown): Wake | undefined {
  if (!Array.isArray(body)) return undefined;
  const [shard, life, stamp, duration] = body;
  if (!isShard(shard) || !isText(life)) return undefined;
  if (!isAmount(stamp) || !isAmount(duration)) return undefined;
  return { shard, life, stamp, duration };
}

/** Formats the answer to a host that wants to join. */
export function formatJoinAnswer(answer: JoinAnswer): unknown {
  return [answer.joined ? 1 : 0, answer.parts];
}

/** Parses the answer to a host that wants to join; undefined if it has another form. */
export function parseJoinAnswer(body: unknown): JoinAnswer | undefined {
  if (!Array.isArray(body)) return undefined;
  const [joined, parts] = body;
  return isAmount(parts) ? { joined: joined === 1, parts } : undefined;
}

/** Whether a value is the key of a shard. */
export function isShard(value: unknown): value is string {
  const match = isText(value) && SHARD_PATTERN.exec(value);
  if (!match) return false;
  const count = Number(match[1]);
  return count <= MAX_SHARD_COUNT && Number(match[2]) < count;
}

/** Whether a value is a finite number that is not negative. */
export function isAmount(value: unknown): value is number {
  return Number.isFinite(value) && value as number >= 0;
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

function formatHandover(handover: Handover | undefined): unknown {
  if (!handover) return 0;
  const levels = handover.levels.map(([id, level]) => [id, roundDown(level)]);
  return [Math.floor(handover.elapsed), levels];
}

function parseHandover(value: unknown): Handover | undefined {
  if (!Array.isArray(value) || !isAmount(value[0])) return undefined;
  const levels = parseList(
    value[1],
    ([id, level]) =>
      isText(id) && isAmount(level) ? [id, level] as const : undefined,
  );
  return levels && { elapsed: value[0], levels };
}

/** Parses all entries of a list; undefined if one has another form. */
function parseList<T>(
  value: unknown,
  // deno-lint-ignore no-explicit-any
  parse: (entry: readonly any[]) => T | undefined,
): readonly T[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const parsed: T[] = [];
  for (const entry of value) {
    const item = Array.isArray(entry) ? parse(entry) : undefined;
    if (item === undefined) return undefined;
    parsed.push(item);
  }
  return parsed;
}

function roundDown(amount: number): number {
  return Math.floor(amount * AMOUNT_PRECISION) / AMOUNT_PRECISION;
}
