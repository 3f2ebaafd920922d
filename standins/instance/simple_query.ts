/**
 * Simple query protocol of one connection.
 *
 * @module
 */
import {
  CONTROL_COLUMNS,
  type ControlStatement,
  parseControlStatement,
  readStreamRequest,
  runControlStatement,
} from "./control.ts";
import {
  createRaiseStatement,
  QUERY_CANCELED,
  rewriteForEngine,
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
  createErrorResponse,
  createMessage,
  createRowDescription,
  SqlFailure,
} from "./wire.ts";

const TRANSACTION_KEYWORD =
  /^\s*(begin|start|commit|end|rollback|abort|savepoint|release)\b/i;

/** Runs the text of a Query message and sends the response. */
export async function runSimpleQuery(
  context: SessionContext,
  text: string,
): Promise<void> {
  const control = parseControlStatement(text);
  if (control) {
    await answerControlStatement(context, control);
    return;
  }
  const { access, channel } = context;
  const statement = inspectStatement(text);
  try {
    const slept = statement.sleepMs === 0 ||
      await channel.sleep(statement.sleepMs);
    await access.acquire();
    if (!slept) {
      await executeAndSend(context, createRaiseStatement(QUERY_CANCELED));
      return;
    }
  } catch (error) {
    await sendError(context, toFailure(error));
    return;
  }
  await runStatement(context, statement);
}

async function runStatement(
  context: SessionContext,
  statement: Statement,
): Promise<void> {
  const engineText = rewriteForEngine(context, statement);
  const statements = engineText === statement.text
    ? splitSchemaChanges(statement.text)
    : undefined;
  context.access.recordEffects(statement);
  if (statements === undefined) {
    await executeAndSend(context, engineText);
    return;
  }
  await context.channel.write(await runSeparately(context, statements));
}

async function executeAndSend(
  context: SessionContext,
  text: string,
): Promise<void> {
  const response = context.access.execute(createMessage("Q", text));
  await context.channel.write(response.bytes);
}

// A schema change is logged with the text of its Query message, so each statement
// is sent in a Query message of its own, within a single transaction as the caller
// expects.
async function runSeparately(
  { access }: SessionContext,
  statements: readonly string[],
): Promise<Buffer> {
  const run = async (text: string) => {
    await access.acquire();
    return access.execute(createMessage("Q", text), { readyForQuery: true });
  };
  const wrapped = !access.inTransaction &&
    !statements.some((statementText) =>
      TRANSACTION_KEYWORD.test(statementText)
    );
  if (wrapped) await run("BEGIN");
  const responses: Buffer[] = [];
  let failed = false;
  for (const statementText of statements) {
    const response = await run(statementText);
    responses.push(response.bytes);
    failed = response.failed;
    if (failed) break;
  }
  if (wrapped) await run(failed ? "ROLLBACK" : "COMMIT");
  return Buffer.concat([...responses, access.readyForQuery]);
}

async function answerControlStatement(
  context: SessionContext,
  control: ControlStatement,
): Promise<void> {
  const { instance, channel, access } = context;
  try {
    if (control.name === "log") {
      const request = readStreamRequest(control);
      await streamLog(instance, request, (bytes) => channel.write(bytes));
      return;
    }
    const row = await runControlStatement(instance, control);
    await channel.write(Buffer.concat([
      createRowDescription(CONTROL_COLUMNS[control.name]),
      createDataRow(row),
      createCommandComplete("SELECT 1"),
      access.readyForQuery,
    ]));
  } catch (error) {
    await sendError(context, toFailure(error));
  }
}

async function sendError(
  { access, channel }: SessionContext,
  failure: SqlFailure,
): Promise<void> {
  channel.throwIfEnded();
  await channel.write(
    Buffer.concat([createErrorResponse(failure), access.readyForQuery]),
  );
}
