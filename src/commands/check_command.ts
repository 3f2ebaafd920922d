/**
 * The `check` command: reports what is wrong with a document and what it would
 * change.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../kernel/result_codes.ts";
import { variableOf } from "../kernel/settings.ts";
import { checkDocument } from "../plugins/check/check_document.ts";
import { countFindings, type Report } from "../plugins/check/finding.ts";
import type { Document } from "../plugins/document/document.ts";
import { parseDocument } from "../plugins/document/parse_document.ts";
import { readDocumentFile } from "./document_file.ts";
import {
  exitCodeOf,
  formatReport,
  showsColors,
  toPlainFinding,
} from "./findings_report.ts";
import { ReportCommand } from "./operator_command.ts";

/** What a check was compared with. */
interface Comparison {
  /** The file that holds the document in force; null if there was no comparison. */
  readonly comparedWith: string | null;
  /** Why there was no comparison. */
  readonly notCompared?: string;
}

/** `marjoramshed check`. */
export class CheckCommand extends ReportCommand {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    category: "Document",
    description: "Report what is wrong with a document and what it changes",
    details: `
      Reports errors with their line and the nearest valid name, entries that can
      never match, limits that contradict each other, and with \`--against\` what
      changes for callers. docs/findings.md lists all findings by their code.

      Contacts no service. The exit code is 0 if there is nothing above a note, 8
      if there are warnings and 9 if there are errors.
    `,
    examples: [
      ["Check a document", "$0 check swap-ledger.yaml"],
      [
        "Compare it with the document in force",
        "$0 document show > current.yaml && $0 check swap-ledger.yaml --against current.yaml",
      ],
    ],
  });

  file = Option.String({ name: "FILE" });
  against = Option.String("--against", {
    description: "File that holds the document in force",
  });

  protected async run(): Promise<Result<string, Failure>> {
    if (this.file === "-" && this.against === "-") {
      return err(createFailure(
        ResultCodes.SETTING_INVALID,
        "--against: expected another file than FILE, found - for both",
      ));
    }
    const text = await readDocumentFile(this.file, this.context.stdin);
    if (text.isErr()) return err(text.error);
    const current = await this.#readCurrent();
    if (current.isErr()) return err(current.error);
    const report = checkDocument(text.value, { current: current.value });
    this.exitCode = exitCodeOf(report);
    return ok(this.#format(report));
  }

  async #readCurrent(): Promise<Result<Document | undefined, Failure>> {
    const { against } = this;
    if (against === undefined) return ok(undefined);
    const text = await readDocumentFile(against, this.context.stdin);
    return text.andThen(parseDocument).mapErr((failure) => ({
      ...failure,
      message: `--against ${against}: ${failure.message}`,
    }));
  }

  #format(report: Report): string {
    const comparison = this.#describeComparison(report);
    if (this.json) {
      return JSON.stringify({
        file: this.file,
        ...comparison,
        errors: countFindings(report, "error"),
        warnings: countFindings(report, "warning"),
        notes: countFindings(report, "note"),
        omitted: report.omitted,
        findings: report.findings.map(toPlainFinding),
      });
    }
    const colors = showsColors(this.context.stdout, process.env);
    const text = formatReport(this.file, report, colors);
    const { notCompared } = comparison;
    return notCompared === undefined ? text : `${text}\n${notCompared}`;
  }

  #describeComparison(report: Report): Comparison {
    const isDocument = countFindings(report, "error") === 0;
    if (this.against !== undefined) {
      if (isDocument) return { comparedWith: this.against };
      const notCompared = "not compared: the file is no document";
      return { comparedWith: null, notCompared };
    }
    const hasStore = Boolean(process.env[variableOf("tableService")]);
    if (!hasStore) return { comparedWith: null };
    return {
      comparedWith: null,
      notCompared:
        "not compared with the document in force: save it with `marjoramshed document show` and give it with --against",
    };
  }
}
