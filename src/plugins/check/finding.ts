/**
 * Findings of a check, and the kinds that there are. The meaning of a code never
 * changes; docs/findings.md lists them, and a test runs the example of each.
 *
 * @module
 */
import { escapeControls } from "../../utils/printable.ts";

/** `error` rejects a document; `warning` may refuse callers or make an entry useless; `note` is to be known. */
export type Severity = "error" | "warning" | "note";

/** A kind of finding. */
export interface FindingKind {
  /** Stable code, such as `F201`. */
  readonly code: string;
  readonly name: string;
  readonly severity: Severity;
}

function error(code: string, name: string): FindingKind {
  return { code, name, severity: "error" };
}

function warning(code: string, name: string): FindingKind {
  return { code, name, severity: "warning" };
}

function note(code: string, name: string): FindingKind {
  return { code, name, severity: "note" };
}

/** All kinds. F1xx no document, F2xx no effect, F3xx limits that contradict each other, F4xx differences. */
export const FindingKinds = {
  TOO_LARGE: error("F101", "too-large"),
  NOT_YAML: error("F102", "not-yaml"),
  TOO_DEEP: error("F103", "too-deep"),
  DUPLICATE_KEY: error("F104", "duplicate-key"),
  UNKNOWN_KEY: error("F105", "unknown-key"),
  MISSING_VALUE: error("F106", "missing-value"),
  INVALID_VALUE: error("F107", "invalid-value"),
  DUPLICATE_NAME: error("F108", "duplicate-name"),
  UNKNOWN_NAME: error("F109", "unknown-name"),
  HIDDEN_ENTRY: warning("F201", "hidden-entry"),
  UNREACHED_GROUP: warning("F202", "unreached-group"),
  UNUSABLE_LIMIT: warning("F203", "unusable-limit"),
  ACCOUNT_WITHOUT_KEY: warning("F204", "account-without-key"),
  SHARED_KEY: warning("F205", "shared-key"),
  IGNORED_ENTRY: warning("F206", "ignored-entry"),
  MISSING_GROUP: warning("F207", "missing-group"),
  ABSENT_DATABASE: note("F208", "absent-database"),
  LIMIT_WITHOUT_EFFECT: note("F209", "limit-without-effect"),
  UNUSED_ZONE: note("F210", "unused-zone"),
  BURST_BELOW_RATE: warning("F301", "burst-below-rate"),
  WAIT_ABOVE_DEADLINE: warning("F302", "wait-above-deadline"),
  AGE_BELOW_LAG: warning("F303", "age-below-lag"),
  FEW_CONNECTIONS: warning("F304", "few-connections"),
  FORWARDED_WORK: note("F305", "forwarded-work"),
  BURSTS_ABOVE_GROUP: warning("F306", "bursts-above-group"),
  SHARED_ADDRESS: warning("F307", "shared-address"),
  REPEATED_ADDRESS: warning("F308", "repeated-address"),
  LEDGER_BELOW_DEADLINE: warning("F309", "ledger-below-deadline"),
  CALLERS_CUT_OFF: warning("F401", "callers-cut-off"),
  SECRET_ENDED: warning("F402", "secret-ended"),
  LIMIT_TIGHTENED: warning("F403", "limit-tightened"),
  LIMIT_LOOSENED: note("F404", "limit-loosened"),
  GUARANTEE_WEAKENED: warning("F405", "guarantee-weakened"),
  DATA_MOVED: warning("F406", "data-moved"),
  ACCESS_ADDED: note("F407", "access-added"),
  INSTANCES_CHANGED: note("F408", "instances-changed"),
  PRIMARY_MOVES: note("F409", "primary-moves"),
  PROXIES_CHANGED: note("F410", "proxies-changed"),
  OTHER_CHANGE: note("F411", "other-change"),
} as const satisfies Record<string, FindingKind>;

/** Keys and indexes that lead to a part of what is checked. */
export type Place = readonly PropertyKey[];

/** What a rule has found at a place. */
export interface Observation {
  readonly kind: FindingKind;
  readonly place: Place;
  /** One sentence. */
  readonly text: string;
}

/** A finding with its place as it is shown. */
export interface Finding {
  readonly kind: FindingKind;
  /** Path in the document; empty for the whole. */
  readonly path: string;
  /** Line number, starting at 1; 0 when there is none. */
  readonly line: number;
  readonly text: string;
}

/** The findings of one check, errors first. */
export interface Report {
  readonly findings: readonly Finding[];
  /** Number of further findings that are not listed. */
  readonly omitted: number;
}

/** Findings that a report lists; a document of the maximum length can have hundreds of thousands. */
const MAX_FINDINGS = 1_000;

const SEVERITIES: readonly Severity[] = ["error", "warning", "note"];

/** Creates a finding; control characters of names are escaped. */
export function createFinding(
  kind: FindingKind,
  path: string,
  line: number,
  text: string,
): Finding {
  const safe = { path: escapeControls(path), text: escapeControls(text) };
  return { kind, line, ...safe };
}

/** Sorts findings by severity and line, and leaves out repeated ones and those beyond the limit. */
export function createReport(
  findings: readonly Finding[],
  alreadyOmitted = 0,
): Report {
  const unique = new Map(findings.map((finding) => [
    `${finding.kind.code}\0${finding.path}\0${finding.text}`,
    finding,
  ]));
  const sorted = [...unique.values()].sort((a, b) =>
    rankOf(a) - rankOf(b) || a.line - b.line
  );
  const listed = sorted.slice(0, MAX_FINDINGS);
  const omitted = alreadyOmitted + sorted.length - listed.length;
  return { findings: listed, omitted };
}

/** Number of the findings of a severity. */
export function countFindings(report: Report, severity: Severity): number {
  return report.findings
    .filter(({ kind }) => kind.severity === severity).length;
}

/** Names that a sentence lists. */
export const MAX_LISTED_NAMES = 5;

/** Lists names in a sentence, the first few of many; `count` is their number if only some are given. */
export function listNames(
  names: readonly string[],
  count = names.length,
): string {
  const listed = names.slice(0, MAX_LISTED_NAMES).join(", ");
  const others = count - MAX_LISTED_NAMES;
  return others > 0 ? `${listed} and ${others} more` : listed;
}

function rankOf({ kind }: Finding): number {
  return SEVERITIES.indexOf(kind.severity);
}
