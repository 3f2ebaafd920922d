/**
 * Commands that change the current document of an environment: put and promote.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../kernel/result_codes.ts";
import type { Head } from "../plugins/document/head.ts";
import type { Operation, Revisions } from "../plugins/document/revisions.ts";
import { describeWarnings } from "./accepted_document.ts";
import { readDocumentFile } from "./document_file.ts";
import { showsColors } from "./findings_report.ts";
import { PlatformCommand } from "./platform_command.ts";

abstract class DocumentChangeCommand extends PlatformCommand {
  operator = Option.String("--operator", {
    description:
      "Operator name to record in the history; default is the user name",
  });
  operation = Option.String("--operation", {
    description: "Operation id; a retry with the same id has no further effect",
  });
  expect = Option.String("--expect", {
    description: "Number that the current revision must have; 0 for none",
  });

  protected resolveOperation(): Result<Operation, Failure> {
    if (this.operation === "") return invalid("--operation", "an id", "");
    if (this.operator === "") return invalid("--operator", "a name", "");
    const id = this.operation ?? randomUUID();
    const operator = this.operator ?? userInfo().username;
    if (this.expect === undefined) return ok({ id, operator });
    const expectedNumber = Number(this.expect);
    const isNumber = this.expect !== "" &&
      Number.isSafeInteger(expectedNumber) && expectedNumber >= 0;
    if (isNumber) return ok({ id, operator, expectedNumber });
    return invalid("--expect", "a non-negative integer", this.expect);
  }

  /** Prints the warnings about an accepted document on standard error and returns the text to print. */
  protected async reportAccepted(
    revisions: Revisions,
    head: Head,
  ): Promise<string> {
    const { stderr } = this.context;
    const colors = showsColors(stderr, process.env);
    const warnings = await describeWarnings(revisions, head, colors);
    if (warnings.length > 0) stderr.write(warnings.join("\n") + "\n");
    return this.#formatHead(head);
  }

  #formatHead(head: Head): string {
    if (this.json) return JSON.stringify(head);
    return `${head.environment}: revision ${head.number} accepted (operation ${head.operation})`;
  }
}

/** `marjoramshed document put`. */
export class DocumentPutCommand extends DocumentChangeCommand {
  static override paths = [["document", "put"]];
  static override usage = Command.Usage({
    category: "Document",
    description: "Make a document the next revision of an environment",
    details: `
      Validates the document, stores it and advances the environment's head to
      the next revision. Of several concurrent changes exactly one succeeds; the
      others fail, report the revision that succeeded and change nothing. If the
      outcome is unknown, retry the command with the operation id in the error
      message. Warnings about the accepted document, and about what it changes, go
      to standard error; docs/findings.md explains them.
    `,
    examples: [
      ["Put a document to trial", "$0 document put swap-ledger.yaml"],
      [
        "Put a document only if revision 7 is still current",
        "$0 document put swap-ledger.yaml --expect 7",
      ],
    ],
  });

  file = Option.String({ name: "FILE" });
  environment = Option.String("--environment", "trial", {
    description: "Environment to change; default trial",
  });

  protected async run(): Promise<Result<string, Failure>> {
    const operation = this.resolveOperation();
    if (operation.isErr()) return err(operation.error);
    const text = await readDocumentFile(this.file, this.context.stdin);
    if (text.isErr()) return err(text.error);
    return await this.withRevisions((revisions) =>
      revisions.put(this.environment, text.value, operation.value)
        .map((head) => this.reportAccepted(revisions, head))
    );
  }
}

/** `marjoramshed document promote`. */
export class DocumentPromoteCommand extends DocumentChangeCommand {
  static override paths = [["document", "promote"]];
  static override usage = Command.Usage({
    category: "Document",
    description:
      "Make the document of one environment the next revision of another",
    details: `
      Uses the current document of \`--from\` unchanged. \`document diff\` shows in
      advance what a promotion would change.
    `,
    examples: [
      ["Promote from trial to production", "$0 document promote"],
      [
        "Promote only if revision 4 of production is still current",
        "$0 document promote --expect 4",
      ],
    ],
  });

  from = Option.String("--from", "trial", {
    description: "Environment to take the document from; default trial",
  });
  to = Option.String("--to", "production", {
    description: "Environment to change; default production",
  });

  protected async run(): Promise<Result<string, Failure>> {
    const operation = this.resolveOperation();
    if (operation.isErr()) return err(operation.error);
    return await this.withRevisions((revisions) =>
      revisions.promote(this.from, this.to, operation.value)
        .map((head) => this.reportAccepted(revisions, head))
    );
  }
}

function invalid(
  flag: string,
  expected: string,
  found: string,
): Result<never, Failure> {
  return err(createFailure(
    ResultCodes.SETTING_INVALID,
    `${flag}: expected ${expected}, found ${JSON.stringify(found)}`,
  ));
}
