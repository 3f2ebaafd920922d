/**
 * Operations of the operator and of the platform on a stack: storing and
 * promoting documents, setting the host list, and querying instances directly.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import pg from "pg";
import { createEventLog } from "../../src/kernel/events.ts";
import { type ResultCode, ResultCodes } from "../../src/kernel/result_codes.ts";
import { Revisions } from "../../src/plugins/document/revisions.ts";
import type { Host } from "../../src/plugins/host_list/host_list.ts";
import { S3ObjectStore } from "../../src/plugins/object_store/s3_object_store.ts";
import { DynamoTable } from "../../src/plugins/table_service/dynamo_table.ts";
import type { Endpoint } from "./address_space.ts";
import { ENVIRONMENT } from "./example.ts";
import { UPSTREAM_USER } from "./launcher.ts";
import { sleep } from "../../src/utils/sleep.ts";
import { urlOf } from "./routes.ts";

const DEFAULT_NAME = "marjoramshed";
const CONTROL_NAME = "marjoramshed-control-stack";
// The AWS SDK reads this variable when a client is created. Disables its Node.js
// deprecation notice, which is not an error here.
process.env["AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED"] = "true";

const QUERY_TIMEOUT_MS = 5_000;

/** Failures of a service that has only just been started and answers too late. */
const AWAY: ReadonlySet<ResultCode> = new Set([
  ResultCodes.TABLE_SERVICE_UNAVAILABLE,
  ResultCodes.OBJECT_STORE_UNAVAILABLE,
]);
const ATTEMPTS = 5;
const RETRY_DELAY_MS = 500;

const TRIAL_ENVIRONMENT = "trial";

/**
 * Stores a document in the trial environment and promotes it; resolves with the
 * revision number. Throws when either step fails.
 */
export async function promoteDocument(
  text: string,
  tableService: Endpoint,
  objectStore: Endpoint,
): Promise<number> {
  const log = createEventLog("error", {});
  const access = { accessKey: DEFAULT_NAME, secret: DEFAULT_NAME, log };
  const table = new DynamoTable({
    ...access,
    url: urlOf(tableService),
    table: DEFAULT_NAME,
  });
  const objects = new S3ObjectStore({
    ...access,
    url: urlOf(objectStore),
    bucket: DEFAULT_NAME,
  });
  try {
    const revisions = new Revisions({ table, objects });
    const [put, promote] = [createOperation(), createOperation()];
    for (let attempt = 1;; attempt += 1) {
      // The same operations again, so that a repeated one has its first outcome.
      const head = await revisions.put(TRIAL_ENVIRONMENT, text, put)
        .andThen(() =>
          revisions.promote(TRIAL_ENVIRONMENT, ENVIRONMENT, promote)
        );
      if (head.isOk()) return head.value.number;
      const isAway = AWAY.has(head.error.code);
      if (!isAway || attempt === ATTEMPTS) throw new Error(head.error.message);
      await sleep(RETRY_DELAY_MS);
    }
  } finally {
    await Promise.all([table.stop(), objects.stop()]);
  }
}

function createOperation() {
  return { id: randomUUID(), operator: "stack" };
}

/** Replaces the whole host list. */
export function putHosts(
  hostList: Endpoint,
  hosts: readonly Host[],
): Promise<void> {
  return sendJson(`${urlOf(hostList)}/hosts`, "PUT", { hosts });
}

/** Sends a value as JSON; throws when the response status is not 2xx. */
export async function sendJson(
  url: string,
  method: "PUT" | "PATCH" | "DELETE",
  value: unknown,
): Promise<void> {
  const response = await fetch(url, { method, body: JSON.stringify(value) });
  if (response.ok) return;
  throw new Error(
    `${method} ${url}: ${response.status} ${await response.text()}`,
  );
}

/** Runs a statement on an instance over a control connection, which its connection limit does not count. */
export async function queryInstance(
  endpoint: Endpoint,
  database: string,
  text: string,
): Promise<readonly Readonly<Record<string, unknown>>[]> {
  const client = new pg.Client({
    ...endpoint,
    database,
    user: UPSTREAM_USER,
    password: UPSTREAM_USER,
    application_name: CONTROL_NAME,
    connectionTimeoutMillis: QUERY_TIMEOUT_MS,
    query_timeout: QUERY_TIMEOUT_MS,
  });
  client.on("error", () => undefined);
  try {
    await client.connect();
    return (await client.query(text)).rows;
  } finally {
    await client.end().catch(() => undefined);
  }
}
