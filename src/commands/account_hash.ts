/**
 * The `account hash` command: hashes the password of a client account.
 *
 * @module
 */
import { createInterface } from "node:readline/promises";
import { Writable } from "node:stream";
import { text } from "node:stream/consumers";
import { Command } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../kernel/result_codes.ts";
import { hashPassword } from "../plugins/document/password.ts";
import { OperatorCommand } from "./operator_command.ts";

/** `marjoramshed account hash`. */
export class AccountHashCommand extends OperatorCommand {
  static override paths = [["account", "hash"]];
  static override usage = Command.Usage({
    category: "Account",
    description: "Hash a password for the document",
    details: `
      Reads the password from standard input, or prompts for it on a terminal
      without echo. Put the printed hash under \`password\` of the account.
    `,
    examples: [
      ["Type the password", "$0 account hash"],
      ["Read the password from a file", "$0 account hash < password.txt"],
    ],
  });

  protected async run(): Promise<Result<string, Failure>> {
    const password = await this.#readPassword();
    if (password !== "") return ok(await hashPassword(password));
    return err(createFailure(
      ResultCodes.SETTING_INVALID,
      "password: expected at least one character, found nothing",
    ));
  }

  async #readPassword(): Promise<string> {
    const { stdin, stderr } = this.context;
    const isTerminal = "isTTY" in stdin && stdin.isTTY === true;
    if (!isTerminal) return (await text(stdin)).replace(/\r?\n$/, "");
    stderr.write("password: ");
    const discardingOutput = new Writable({
      write: (_chunk, _encoding, done) => done(),
    });
    const prompt = createInterface({
      input: stdin,
      output: discardingOutput,
      terminal: true,
    });
    const password = await prompt.question("");
    prompt.close();
    stderr.write("\n");
    return password;
  }
}
