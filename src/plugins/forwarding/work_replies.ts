/**
 * The answers of a holder to forwarded work: how they are written and read.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import {
  createFailure,
  type Failure,
  type ResultCode,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { encodeText } from "../channels/frames.ts";
import type {
  Answer,
  Fault,
  LinkLoss,
  LinkStatus,
  TransactionState,
} from "../upstream/link.ts";
import { Fields } from "./fields.ts";
import { readPosition, writePosition } from "./work_messages.ts";

/** What a holder answers, as the sender reads it. */
export type WorkReply =
  | { readonly kind: "answer"; readonly answer: Omit<Answer, "sentAt"> }
  | { readonly kind: "status"; readonly status: Omit<LinkStatus, "sentAt"> }
  /** Nothing has run. */
  | { readonly kind: "refused"; readonly failure: Failure }
  /** The instance gave no answer; the statement may run for so many ms more, if at all. */
  | {
    readonly kind: "lost";
    readonly reason: string;
    readonly mayRunFor: number | undefined;
  }
  /** Nothing has run, and another host is to be asked. */
  | {
    readonly kind: "not holder";
    readonly reason: string;
    readonly isStopping: boolean;
  };

/** A reply, and the number of statements that are outstanding at the instance through the holder. */
export interface ReadReply {
  readonly reply: WorkReply;
  readonly load: number;
}

/** Kinds of replies; a reply starts with the index of its kind, then the load. */
const KINDS: readonly WorkReply["kind"][] = [
  "answer",
  "status",
  "refused",
  "lost",
  "not holder",
];

const STATES: readonly TransactionState[] = ["idle", "open", "failed"];
const ROLES: readonly LinkStatus["role"][] = ["primary", "replica"];
const FAULTS: readonly Fault[] = [
  "busy",
  "lagging",
  "read-only",
  "misrouted",
  "unknown-statement",
  "failed",
  "timeout",
  "other",
];

const CODES_BY_NUMBER: ReadonlyMap<number, ResultCode> = new Map(
  Object.values(ResultCodes).map((code) => [code.number, code]),
);

/** Writes the reply to a statement. */
export function writeAnswer(
  result: Result<Answer, LinkLoss>,
  mayRunFor: number | undefined,
  load: number,
): unknown {
  if (result.isErr()) return writeLoss(result.error, mayRunFor, load);
  const { rows, signature, fault, faultText, state, position } = result.value;
  return [
    KINDS.indexOf("answer"),
    load,
    rows.map(encodeText),
    signature && encodeText(signature),
    fault && FAULTS.indexOf(fault),
    faultText && encodeText(faultText),
    STATES.indexOf(state),
    writePosition(position),
  ];
}

/** Writes the reply to a command. */
export function writeStatus(
  result: Result<LinkStatus, LinkLoss>,
  load: number,
): unknown {
  if (result.isErr()) return writeLoss(result.error, undefined, load);
  const { role, term, received, pausedAt, lag } = result.value;
  return [
    KINDS.indexOf("status"),
    load,
    ROLES.indexOf(role),
    term,
    writePosition(received),
    pausedAt,
    lag,
  ];
}

/** Writes that another host is to be asked. */
export function writeNotHolder(reason: string, isStopping: boolean): unknown {
  return [KINDS.indexOf("not holder"), 0, reason, isStopping];
}

function writeLoss(
  { reason, notSent }: LinkLoss,
  mayRunFor: number | undefined,
  load: number,
): unknown {
  if (notSent) {
    const { code, message } = notSent;
    return [KINDS.indexOf("refused"), load, code.number, message];
  }
  return [KINDS.indexOf("lost"), load, reason, mayRunFor];
}

/** Reads a reply; an error if it is malformed. */
export function readReply(body: unknown): Result<ReadReply, string> {
  try {
    const fields = new Fields(body);
    const kind = fields.choice(KINDS);
    const load = fields.number();
    return ok({ reply: readKind(kind, fields), load });
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}

function readKind(kind: WorkReply["kind"], fields: Fields): WorkReply {
  switch (kind) {
    case "answer":
      return { kind, answer: readAnswer(fields) };
    case "status":
      return { kind, status: readStatus(fields) };
    case "refused": {
      // A later release may know further codes; this one says the same to a session.
      const code = CODES_BY_NUMBER.get(fields.number()) ??
        ResultCodes.UPSTREAM_REFUSED;
      return { kind, failure: createFailure(code, fields.string()) };
    }
    case "lost":
      return {
        kind,
        reason: fields.string(),
        mayRunFor: fields.optionalNumber(),
      };
    case "not holder":
      return { kind, reason: fields.string(), isStopping: fields.boolean() };
  }
}

function readAnswer(fields: Fields): Omit<Answer, "sentAt"> {
  const rows = fields.list();
  const read: string[] = [];
  while (!rows.isNull()) read.push(rows.text());
  return {
    rows: read,
    signature: fields.optionalText(),
    fault: fields.isNull() ? fields.skip() : fields.choice(FAULTS),
    faultText: fields.optionalText(),
    state: fields.choice(STATES),
    position: readPosition(fields),
  };
}

function readStatus(fields: Fields): Omit<LinkStatus, "sentAt"> {
  const role = fields.choice(ROLES);
  const term = fields.number();
  const received = readPosition(fields);
  if (!received) throw new Error("the status has no position");
  return {
    role,
    term,
    received,
    pausedAt: fields.number(),
    lag: fields.number(),
  };
}
