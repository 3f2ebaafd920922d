/**
 * Commands that change which document is in force: put and promote.
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
import type { Operation } from "../plugins/document/revisions.ts";
import { readDocumentFile } from "./document_file.ts";
import { PlatformCommand } from "./platform_command.ts";

abstract class DocumentChangeCommand extends PlatformCommand {
  operator = Option.String("--operator", {
    description: "Name that history shows; default is the user's",
  });
  operation = Option.String("--operation", {
    description: "Id of the operation; a repetition has no further effect",
  });
  expect = Option.String("--expect", {
    description: "Number of the revision that this change is based on",
  });

  protected resolveOperation(): Result<Operation, Failure> {
    const id = this.operation ?? randomUUID();
    const operator = this.operator ?? userInfo().username;
    if (this.expect === undefined) return ok({ id, operator });
    const expect = Number(this.expect);
    if (Number.isSafeInteger(expect) && expect >= 0) {
      return ok({ id, operator, expect });
    }
    return err(createFailure(
      ResultCodes.SETTING_INVALID,
      `--expect: expected a whole number, found ${JSON.stringify(this.expect)}`,
    ));
  }

  protected formatHead(head: Head): string {
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
      Checks the document, stores it and moves the environment's head to the
      next number. Of operators who race exactly one wins; the others get the
      winner's revision and change nothing. Where the outcome is unknown, repeat
      the command with the operation id that the message names.
    `,
    examples: [
      ["Put a document on trial", "$0 document put swap-ledger.yaml"],
      [
        "Put it only when nobody else has changed it since revision 7",
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
        .map((head) => this.formatHead(head))
    );
  }
}

/** `marjoramshed document promote`. */
export class DocumentPromoteCommand extends DocumentChangeCommand {
  static override paths = [["document", "promote"]];
  static override usage = Command.Usage({
    category: "Document",
    description: "Make the document of one environment the next of another",
    details: `
      Takes the document in force in the first environment as it is. Look at
      \`document diff\` before.
    `,
    examples: [
      ["Promote from trial to production", "$0 document promote"],
      [
        "Promote only when production is still at revision 4",
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
        .map((head) => this.formatHead(head))
    );
  }
}
