/**
 * Base classes of the operators' commands: the result goes to standard output; a
 * failure goes to standard error with its result code and sets the exit code.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import type { Result } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../kernel/result_codes.ts";

/** A command whose result is a text or a failure. */
export abstract class OperatorCommand extends Command {
  /** Exit code after the result was printed. */
  protected exitCode = 0;

  /** Runs the command and returns the text to print. */
  protected abstract run(): Promise<Result<string, Failure>>;

  async execute(): Promise<number> {
    const result = await this.run().catch(createInternalFailure);
    if (!(isResult(result))) return this.#reportFailure(result);
    if (result.isErr()) return this.#reportFailure(result.error);
    this.context.stdout.write(withTrailingNewline(result.value));
    return this.exitCode;
  }

  #reportFailure(failure: Failure): number {
    const { code, message, detail, hint } = failure;
    const lines = [
      `marjoramshed: ${message} (code ${code.number}, ${code.name})`,
      ...(detail ? [`detail: ${detail}`] : []),
      ...(hint ? [`hint: ${hint}`] : []),
    ];
    this.context.stderr.write(lines.join("\n") + "\n");
    return code.exitCode;
  }
}

/** A command that can print JSON. */
export abstract class ReportCommand extends OperatorCommand {
  json = Option.Boolean("--json", false, {
    description: "Print JSON instead of text",
  });
}

function isResult(
  value: Result<string, Failure> | Failure,
): value is Result<string, Failure> {
  return "isErr" in value;
}

function createInternalFailure(error: unknown): Failure {
  const message = error instanceof Error ? error.message : String(error);
  return createFailure(ResultCodes.INTERNAL, message);
}

function withTrailingNewline(text: string): string {
  return text === "" || text.endsWith("\n") ? text : text + "\n";
}
