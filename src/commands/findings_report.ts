/**
 * Formats the findings of a check for terminals and for tools.
 *
 * @module
 */
import type { Writable } from "node:stream";
import {
  countFindings,
  type Finding,
  type Report,
  type Severity,
} from "../plugins/check/finding.ts";

/** Exit codes of a check that could be made; no result code has them (docs/result_codes.md). */
export const CheckExitCodes = { CLEAN: 0, WARNINGS: 8, ERRORS: 9 } as const;

/** SGR codes of the severities: red, yellow, cyan. */
const COLORS: Readonly<Record<Severity, number>> = {
  error: 31,
  warning: 33,
  note: 36,
};

/** Returns the exit code for the most severe finding. */
export function exitCodeOf(report: Report): number {
  if (countFindings(report, "error") > 0) return CheckExitCodes.ERRORS;
  if (countFindings(report, "warning") > 0) return CheckExitCodes.WARNINGS;
  return CheckExitCodes.CLEAN;
}

/** Whether a stream shows colors: a terminal that is not dumb, unless NO_COLOR is set (no-color.org). */
export function showsColors(
  stream: Writable,
  environment: Readonly<Record<string, string | undefined>>,
): boolean {
  const isTerminal = "isTTY" in stream && stream.isTTY === true;
  return isTerminal && !environment["NO_COLOR"] &&
    environment["TERM"] !== "dumb";
}

/** Formats a finding as one line. */
export function formatFinding(
  { kind, line, path, text }: Finding,
  colors: boolean,
): string {
  const { severity, code } = kind;
  const label = colors
    ? `\u001b[${COLORS[severity]}m${severity}\u001b[0m`
    : severity;
  const place = [line > 0 ? `line ${line}` : "", path]
    .filter((part) => part !== "").join(" ");
  return `${label} ${code} ${place === "" ? "document" : place}: ${text}`;
}

/** Formats all findings and their numbers. */
export function formatReport(
  file: string,
  report: Report,
  colors: boolean,
): string {
  const counts = (["error", "warning", "note"] as const).map((severity) => {
    const count = countFindings(report, severity);
    return `${count} ${severity}${count === 1 ? "" : "s"}`;
  });
  const omitted = report.omitted > 0
    ? `, and ${report.omitted} more findings that are not listed`
    : "";
  return [
    ...report.findings.map((finding) => formatFinding(finding, colors)),
    `${file}: ${counts.join(", ")}${omitted}`,
  ].join("\n");
}

/** Returns a finding as `--json` prints it. */
export function toPlainFinding(
  { kind, path, line, text }: Finding,
): Readonly<Record<string, unknown>> {
  const { code, name, severity } = kind;
  return { code, name, severity, path, line, text };
}
