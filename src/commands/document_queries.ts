/**
 * Commands that read documents: validate, diff, history and show.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { err, ok, okAsync, type Result, type ResultAsync } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../kernel/result_codes.ts";
import { describeChanges } from "../plugins/check/check_document.ts";
import {
  type Change,
  createChange,
  formatChange,
} from "../plugins/document/diff_documents.ts";
import type { Document } from "../plugins/document/document.ts";
import { parseDocument } from "../plugins/document/parse_document.ts";
import type { Revisions } from "../plugins/document/revisions.ts";
import { escapeControls } from "../utils/printable.ts";
import { readDocumentFile } from "./document_file.ts";
import { OperatorCommand } from "./operator_command.ts";
import { PlatformCommand } from "./platform_command.ts";
import { formatTable } from "./table.ts";

/** `marjoramshed document validate`. */
export class DocumentValidateCommand extends OperatorCommand {
  static override paths = [["document", "validate"]];
  static override usage = Command.Usage({
    category: "Document",
    description: "Validate documents without contacting the platform",
    details: `
      Reports the line and path of an error, the expected and the found value,
      and for an unknown key the nearest known key.
    `,
    examples: [
      ["Validate a document", "$0 document validate swap-ledger.yaml"],
      ["Validate standard input", "$0 document validate - < swap-ledger.yaml"],
    ],
  });

  files = Option.Rest({ name: "FILE", required: 1 });

  protected async run(): Promise<Result<string, Failure>> {
    const lines: string[] = [];
    for (const file of this.files) {
      const text = await readDocumentFile(file, this.context.stdin);
      if (text.isErr()) return err(text.error);
      const parsed = parseDocument(text.value);
      if (parsed.isErr()) {
        const { error } = parsed;
        return err({ ...error, message: `${file}: ${error.message}` });
      }
      lines.push(`${file}: ${summarizeDocument(parsed.value)}`);
    }
    return ok(lines.join("\n"));
  }
}

/** `marjoramshed document diff`. */
export class DocumentDiffCommand extends PlatformCommand {
  static override paths = [["document", "diff"]];
  static override usage = Command.Usage({
    category: "Document",
    description: "Show what a put or a promotion would change",
    details: `
      With a file, compares the current document of \`--to\` with the file.
      Without a file, shows what a promotion from \`--from\` to \`--to\` would
      change, with the effect on callers below each change. Durations are in ms,
      defaults are filled in, and password hashes are hidden.
    `,
    examples: [
      ["What would a promotion change?", "$0 document diff"],
      [
        "What would a put to trial change?",
        "$0 document diff swap-ledger.yaml --to trial",
      ],
    ],
  });

  file = Option.String({ name: "FILE", required: false });
  from = Option.String("--from", "trial", {
    description: "Environment to take the new document from; default trial",
  });
  to = Option.String("--to", "production", {
    description: "Environment to compare with; default production",
  });

  protected run(): Promise<Result<string, Failure>> {
    return this.withRevisions(async (revisions) => {
      const after = await this.#readNewDocument(revisions);
      if (after.isErr()) return err(after.error);
      const before = await readCurrentDocument(revisions, this.to);
      return before.map((found) =>
        this.#formatChanges(listChanges(found, after.value))
      );
    });
  }

  async #readNewDocument(
    revisions: Revisions,
  ): Promise<Result<Document, Failure>> {
    if (this.file === undefined) {
      return await revisions.show(this.from).map((found) => found.document);
    }
    const text = await readDocumentFile(this.file, this.context.stdin);
    return text.andThen(parseDocument);
  }

  #formatChanges(changes: readonly DescribedChange[]): string {
    if (this.json) return JSON.stringify(changes);
    if (changes.length === 0) return "no difference";
    return changes.flatMap((change, index) => {
      const { effect } = change;
      const isNew = effect && effect !== changes[index - 1]?.effect;
      const line = formatChange(change);
      return isNew ? [line, `    ${escapeControls(effect)}`] : [line];
    }).join("\n");
  }
}

/** `marjoramshed document history`. */
export class DocumentHistoryCommand extends PlatformCommand {
  static override paths = [["document", "history"]];
  static override usage = Command.Usage({
    category: "Document",
    description: "List the latest revisions of an environment",
    examples: [[
      "The latest five revisions of production",
      "$0 document history --environment production --count 5",
    ]],
  });

  environment = Option.String("--environment", "production", {
    description: "Environment; default production",
  });
  count = Option.String("--count", "20", {
    description: "Maximum number of revisions to list; default 20",
  });

  protected async run(): Promise<Result<string, Failure>> {
    const count = parsePositiveInteger("--count", this.count);
    if (count.isErr()) return err(count.error);
    return await this.withRevisions((revisions) =>
      revisions.history(this.environment, count.value).map((heads) => {
        if (this.json) return JSON.stringify(heads);
        const rows = heads.map((head) => [
          String(head.number),
          head.time,
          head.operator,
          head.operation,
          head.hash.slice(0, 12),
        ]);
        return formatTable(
          ["REVISION", "TIME", "OPERATOR", "OPERATION", "HASH"],
          rows,
        );
      })
    );
  }
}

/** `marjoramshed document show`. */
export class DocumentShowCommand extends PlatformCommand {
  static override paths = [["document", "show"]];
  static override usage = Command.Usage({
    category: "Document",
    description: "Print an accepted document",
    examples: [
      ["The current document of production", "$0 document show"],
      ["Revision 3 of trial", "$0 document show 3 --environment trial"],
    ],
  });

  number = Option.String({ name: "REVISION", required: false });
  environment = Option.String("--environment", "production", {
    description: "Environment; default production",
  });

  protected async run(): Promise<Result<string, Failure>> {
    const number = this.number === undefined
      ? ok(undefined)
      : parsePositiveInteger("REVISION", this.number);
    if (number.isErr()) return err(number.error);
    return await this.withRevisions((revisions) =>
      revisions.show(this.environment, number.value).map(({ head, text }) =>
        this.json ? JSON.stringify({ ...head, text }) : text
      )
    );
  }
}

/** A change with its effect on callers. */
interface DescribedChange extends Change {
  readonly effect?: string;
}

function listChanges(
  before: Document | undefined,
  after: Document,
): readonly DescribedChange[] {
  return describeChanges(before, after).flatMap(({ differences, effects }) =>
    differences.map((difference) => ({
      ...createChange(difference),
      effect: effects.map(({ text }) => text).join("; ") || undefined,
    }))
  );
}

/** Reads the current document of an environment; undefined before the first revision. */
function readCurrentDocument(
  revisions: Revisions,
  environment: string,
): ResultAsync<Document | undefined, Failure> {
  return revisions.head(environment).andThen((head) =>
    head
      ? revisions.show(environment).map((found) => found.document)
      : okAsync(undefined)
  );
}

function parsePositiveInteger(
  name: string,
  text: string,
): Result<number, Failure> {
  const number = Number(text);
  if (Number.isSafeInteger(number) && number > 0) return ok(number);
  return err(createFailure(
    ResultCodes.SETTING_INVALID,
    `${name}: expected a positive integer, found ${JSON.stringify(text)}`,
  ));
}

function summarizeDocument(document: Document): string {
  const environments = Object.entries(document.environments)
    .map(([name, { groups, proxies }]) =>
      `${name} with ${groups.length} groups and ${proxies.length} proxies`
    );
  return `valid: ${document.service}, ${environments.join(", ")}`;
}
