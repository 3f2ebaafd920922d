/**
 * Decodes the rows that an instance returns for control statements.
 *
 * @module
 */
import type { ControlRow } from "./control_connection.ts";
import type { FenceReply, InstanceStatus, Role } from "./database_group.ts";
import type { TermStart } from "./position.ts";

const ROLES: readonly string[] = ["primary", "replica", "fenced"];

/** Decodes a status row; throws a TypeError if a column is missing or invalid. */
export function readStatus(row: ControlRow): InstanceStatus {
  const source = row["source"];
  return {
    role: readRole(row["role"]),
    seenTerm: Number(readInteger(row, "seen_term")),
    lastTerm: Number(readInteger(row, "last_term")),
    termStarts: readTermStarts(row["term_starts"]),
    received: readInteger(row, "received"),
    applied: readInteger(row, "applied"),
    hearsSource: readBoolean(row["hears_source"]),
    ...(typeof source === "string" && source !== "" ? { source } : {}),
  };
}

/** Decodes the row of a fence reply; throws a TypeError if a column is missing or invalid. */
export function readFenceReply(row: ControlRow): FenceReply {
  return {
    lastTerm: Number(readInteger(row, "last_term")),
    termStarts: readTermStarts(row["term_starts"]),
    received: readInteger(row, "received"),
  };
}

function readRole(value: unknown): Role {
  if (typeof value === "string" && ROLES.includes(value)) return value as Role;
  throw new TypeError(`role: found ${String(value)}`);
}

function readInteger(row: ControlRow, column: string): bigint {
  const value = row[column];
  if (typeof value === "number" && Number.isSafeInteger(value)) {
    return BigInt(value);
  }
  if (typeof value === "string" && /^\d+$/.test(value)) return BigInt(value);
  throw new TypeError(`${column}: found ${String(value)}`);
}

function readBoolean(value: unknown): boolean {
  return value === true || value === "t" || value === "true";
}

function readTermStarts(value: unknown): readonly TermStart[] {
  if (value === null || value === undefined || value === "") return [];
  return String(value).split(",").map((entry) => {
    const match = /^(\d+):(\d+)$/.exec(entry.trim());
    if (!match) throw new TypeError(`term_starts: found ${String(value)}`);
    return { term: Number(match[1]), lsn: BigInt(match[2]!) };
  });
}
