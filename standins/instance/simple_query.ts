/**
 * Simple queries of one connection.
 *
 * @module
 */
import {
  type Control,
  CONTROL_COLUMNS,
  parseControl,
  readStreamRequest,
  runControl,
} from "./control.ts";
import {
  CANCELLED,
  engineText,
  failingText,
  type SessionContext,
  toFailure,
} from "./session_context.ts";
import { streamLog } from "./source.ts";
import {
  inspectStatement,
  splitSchemaChanges,
  type Statement,
} from "./statement.ts";
import {
  createCommandComplete,
  createDataRow,
  createError,
  createMessage,
  createRowDescription,
  SqlFailure,
} from "./wire.ts";

const TRANSACTION_WORD =
  /^\s*(begin|start|commit|end|rollback|abort|savepoint|release)\b/i;

/** Runs the text of a Query message and sends its answer. */
export async function runSimpleQuery(
  context: SessionContext,
  text: string,
): Promise<void> {
  const control = parseControl(text);
  if (control) {
    await answerControl(context, control);
    return;
  }
  const { access, channel } = context;
  const statement = inspectStatement(text);
  try {
    const finished = statement.sleep === 0 ||
      await channel.sleep(statement.sleep);
    await access.enter();
    if (!finished) {
      await sendOne(context, failingText(CANCELLED));
      return;
    }
  } catch (error) {
    await refuse(context, toFailure(error));
    return;
  }
  await runStatement(context, statement);
}

async function runStatement(
  context: SessionContext,
  statement: Statement,
): Promise<void> {
  const ownText = engineText(context, statement);
  const parts = ownText === statement.text
    ? splitSchemaChanges(statement.text)
    : undefined;
  context.access.note(statement);
  if (parts === undefined) {
    await sendOne(context, ownText);
    return;
  }
  await context.channel.write(await runParts(context, parts));
}

async function sendOne(context: SessionContext, text: string): Promise<void> {
  const answers = context.access.execute(createMessage("Q", text));
  await context.channel.write(answers.bytes);
}

// A schema change is logged with the text of its Query message, so each statement
// gets a message of its own, inside one transaction as the caller expects.
async function runParts(
  { access }: SessionContext,
  parts: readonly string[],
): Promise<Buffer> {
  const run = async (text: string) => {
    await access.enter();
    return access.execute(createMessage("Q", text), { readyForQuery: true });
  };
  const wrapped = !access.inTransaction &&
    !parts.some((part) => TRANSACTION_WORD.test(part));
  if (wrapped) await run("BEGIN");
  const kept: Buffer[] = [];
  let failed = false;
  for (const part of parts) {
    const answers = await run(part);
    kept.push(answers.bytes);
    failed = answers.failed;
    if (failed) break;
  }
  if (wrapped) await run(failed ? "ROLLBACK" : "COMMIT");
  return Buffer.concat([...kept, access.ready]);
}

async function answerControl(
  context: SessionContext,
  control: Control,
): Promise<void> {
  const { instance, channel, access } = context;
  try {
    if (control.name === "log") {
      const request = readStreamRequest(control);
      await streamLog(instance, request, (bytes) => channel.write(bytes));
      return;
    }
    const row = await runControl(instance, control);
    await channel.write(Buffer.concat([
      createRowDescription(CONTROL_COLUMNS[control.name]),
      createDataRow(row),
      createCommandComplete("SELECT 1"),
      access.ready,
    ]));
  } catch (error) {
    await refuse(context, toFailure(error));
  }
}

async function refuse(
  { access, channel }: SessionContext,
  failure: SqlFailure,
): Promise<void> {
  channel.check();
  await channel.write(Buffer.concat([createError(failure), access.ready]));
}
