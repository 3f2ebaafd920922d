/**
 * Checks a document that was accepted as a revision.
 *
 * @module
 */
import { okAsync, type ResultAsync } from "neverthrow";
import type { Failure } from "../kernel/result_codes.ts";
import { checkDocument } from "../plugins/check/check_document.ts";
import type { Document } from "../plugins/document/document.ts";
import type { Head } from "../plugins/document/head.ts";
import type { Revisions } from "../plugins/document/revisions.ts";
import { formatFinding } from "./findings_report.ts";

/** Returns lines with the warnings about a revision and what it changes; the store's failure takes the place of what it prevents. */
export async function describeWarnings(
  revisions: Revisions,
  { environment, number }: Head,
  colors: boolean,
): Promise<readonly string[]> {
  const accepted = await revisions.show(environment, number);
  if (accepted.isErr()) return [`not checked: ${accepted.error.message}`];
  const before = await readBefore(revisions, environment, number);
  const report = checkDocument(accepted.value.text, {
    current: before.unwrapOr(undefined),
    environment,
  });
  const warnings = report.findings
    .filter(({ kind }) => kind.severity === "warning")
    .map((finding) => formatFinding(finding, colors));
  if (before.isOk()) return warnings;
  return [
    ...warnings,
    `not compared with the revision before: ${before.error.message}`,
  ];
}

function readBefore(
  revisions: Revisions,
  environment: string,
  number: number,
): ResultAsync<Document | undefined, Failure> {
  if (number === 1) return okAsync(undefined);
  return revisions.show(environment, number - 1)
    .map(({ document }) => document);
}
