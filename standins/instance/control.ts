/**
 * Control statements of an instance: parsing, execution and result rows.
 *
 * @module
 */
import type { InstanceStatus } from "../../src/plugins/upstream/database_group.ts";
import type { DatabaseInstance } from "./instance.ts";
import { formatTermStarts } from "./log.ts";
import type { StreamRequest } from "./source.ts";
import { type Column, SqlFailure } from "./wire.ts";

const CONTROL_PATTERN =
  /^\s*select\s+\*\s+from\s+marjoramshed_(status|fence|promote|follow|position|lag|log)\s*\(([^)]*)\)\s*;?\s*$/i;

/** A parsed control statement. */
export interface ControlStatement {
  readonly name:
    | "status"
    | "fence"
    | "promote"
    | "follow"
    | "position"
    | "lag"
    | "log";
  readonly args: readonly string[];
}

const STATUS_COLUMNS: readonly Column[] = [
  { name: "role", type: "text" },
  { name: "seen_term", type: "int8" },
  { name: "last_term", type: "int8" },
  { name: "term_starts", type: "text" },
  { name: "received", type: "int8" },
  { name: "applied", type: "int8" },
  { name: "source", type: "text" },
  { name: "hears_source", type: "bool" },
];

const FENCE_COLUMNS: readonly Column[] = [
  { name: "last_term", type: "int8" },
  { name: "term_starts", type: "text" },
  { name: "received", type: "int8" },
];

const POSITION_COLUMNS: readonly Column[] = [
  { name: "term", type: "int8" },
  { name: "lsn", type: "int8" },
];

const LAG_COLUMNS: readonly Column[] = [
  { name: "receive_ms", type: "int8" },
  { name: "apply_ms", type: "int8" },
];

/** Result columns of each control statement; empty for `log`, whose stream sends its own. */
export const CONTROL_COLUMNS: Readonly<
  Record<ControlStatement["name"], readonly Column[]>
> = {
  status: STATUS_COLUMNS,
  fence: FENCE_COLUMNS,
  promote: STATUS_COLUMNS,
  follow: STATUS_COLUMNS,
  position: POSITION_COLUMNS,
  lag: LAG_COLUMNS,
  log: [],
};

/** Parses a control statement; undefined for any other SQL text. */
export function parseControlStatement(
  text: string,
): ControlStatement | undefined {
  const match = CONTROL_PATTERN.exec(text);
  if (!match) return undefined;
  const args = match[2]!.trim() === "" ? [] : match[2]!.split(",");
  return {
    name: match[1]!.toLowerCase() as ControlStatement["name"],
    args: args.map((arg) => arg.trim().replace(/^'(.*)'$/, "$1")),
  };
}

/** Runs a control statement and returns its result row; throws a `SqlFailure` on refusal. */
export async function runControlStatement(
  instance: DatabaseInstance,
  { name, args }: ControlStatement,
): Promise<readonly (string | null)[]> {
  switch (name) {
    case "status":
      return statusRow(instance.status());
    case "fence":
      return fenceRow(instance.fence(parseInteger(args[0])));
    case "promote":
      return statusRow(await instance.promote(parseInteger(args[0])));
    case "follow": {
      const [source = "", host = "", port, term] = args;
      const primary = { name: source, host, port: parseInteger(port) };
      return statusRow(instance.follow(primary, parseInteger(term)));
    }
    case "position": {
      const { term, lsn } = instance.position();
      return [String(term), String(lsn)];
    }
    case "lag":
      instance.setLag(parseInteger(args[0]), parseInteger(args[1]));
      return [String(parseInteger(args[0])), String(parseInteger(args[1]))];
    case "log":
      throw new SqlFailure("0A000", "the log is streamed by simple query only");
  }
}

/** Parses the arguments of the `log` statement. */
export function readStreamRequest({ args }: ControlStatement): StreamRequest {
  return {
    from: BigInt(parseInteger(args[0])),
    lastTerm: parseInteger(args[1]),
    seenTerm: parseInteger(args[2]),
  };
}

function parseInteger(text: string | undefined): number {
  if (text !== undefined && /^\d{1,15}$/.test(text)) return Number(text);
  throw new SqlFailure("22P02", `expected a whole number, found ${text}`);
}

function statusRow(status: InstanceStatus): readonly (string | null)[] {
  return [
    status.role,
    String(status.seenTerm),
    String(status.lastTerm),
    formatTermStarts(status.termStarts),
    String(status.received),
    String(status.applied),
    status.source ?? null,
    status.hearsSource ? "t" : "f",
  ];
}

function fenceRow(status: InstanceStatus): readonly (string | null)[] {
  const starts = formatTermStarts(status.termStarts);
  return [String(status.lastTerm), starts, String(status.received)];
}
