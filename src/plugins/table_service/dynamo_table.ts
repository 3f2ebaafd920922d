/**
 * Client of the table service over the DynamoDB protocol.
 *
 * @module
 */
import {
  type AttributeValue,
  ConditionalCheckFailedException,
  DynamoDBClient,
  GetItemCommand,
  type Put,
  PutItemCommand,
  TransactionCanceledException,
  TransactWriteItemsCommand,
} from "@aws-sdk/client-dynamodb";
import { ResultAsync } from "neverthrow";
import { type EventLog, Events } from "../../kernel/events.ts";
import { describeError, OutageLog } from "../../kernel/outage_log.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type {
  ConditionalPut,
  PutOutcome,
  Row,
  TableService,
} from "./table_service.ts";
import {
  createClientConfiguration,
  type PlatformAccess,
} from "../../utils/platform_client.ts";

const REQUEST_TIMEOUT_MS = 1_000;
const KEY_ATTRIBUTE = "key";
const CONDITION_FAILED = "ConditionalCheckFailed";

/** Options of the table service client. */
export interface DynamoTableOptions extends PlatformAccess {
  readonly table: string;
  readonly log: EventLog;
}

/** Reads and writes rows of one table. Requests are never retried; resolving an unknown outcome is left to the calling code. */
export class DynamoTable implements TableService {
  readonly #client: DynamoDBClient;
  readonly #table: string;
  readonly #outage: OutageLog;

  constructor(options: DynamoTableOptions) {
    this.#table = options.table;
    this.#outage = new OutageLog(
      options.log,
      Events.TABLE_SERVICE_FAILED,
      "table service",
    );
    this.#client = new DynamoDBClient(createClientConfiguration(options));
  }

  get(key: string): ResultAsync<Row | undefined, Failure> {
    return this.#run(async (abortSignal) => {
      const command = new GetItemCommand({
        TableName: this.#table,
        Key: { [KEY_ATTRIBUTE]: { S: key } },
        ConsistentRead: true,
      });
      const response = await this.#client.send(command, { abortSignal });
      return response.Item && decodeRow(key, response.Item);
    });
  }

  put(puts: readonly ConditionalPut[]): ResultAsync<PutOutcome, Failure> {
    return this.#run(async (abortSignal) => {
      try {
        await this.#sendPuts(
          puts.map((put) => this.#createPut(put)),
          abortSignal,
        );
        return "written";
      } catch (error) {
        if (isConditionFailure(error)) return "condition failed";
        throw error;
      }
    });
  }

  /** Closes all connections. */
  stop(): Promise<void> {
    this.#client.destroy();
    return Promise.resolve();
  }

  async #sendPuts(
    puts: readonly Put[],
    abortSignal: AbortSignal,
  ): Promise<void> {
    const [first] = puts;
    if (puts.length === 1 && first) {
      await this.#client.send(new PutItemCommand(first), { abortSignal });
      return;
    }
    const items = puts.map((Put) => ({ Put }));
    const command = new TransactWriteItemsCommand({ TransactItems: items });
    await this.#client.send(command, { abortSignal });
  }

  #createPut(put: ConditionalPut): Put {
    const base = { TableName: this.#table, Item: encodeItem(put.row) };
    if (put.condition.kind === "absent") {
      return {
        ...base,
        ConditionExpression: "attribute_not_exists(#name)",
        ExpressionAttributeNames: { "#name": KEY_ATTRIBUTE },
      };
    }
    return {
      ...base,
      ConditionExpression: "#name = :value",
      ExpressionAttributeNames: { "#name": put.condition.attribute },
      ExpressionAttributeValues: { ":value": encodeValue(put.condition.value) },
    };
  }

  #run<T>(
    work: (abortSignal: AbortSignal) => Promise<T>,
  ): ResultAsync<T, Failure> {
    const request = work(AbortSignal.timeout(REQUEST_TIMEOUT_MS));
    return ResultAsync.fromPromise(request, (error) => {
      this.#outage.recordFailure(error);
      return createFailure(
        ResultCodes.TABLE_SERVICE_UNAVAILABLE,
        "the request to the table service failed",
        { detail: describeError(error) },
      );
    }).andTee(() => this.#outage.recordSuccess());
  }
}

function isConditionFailure(error: unknown): boolean {
  if (error instanceof ConditionalCheckFailedException) return true;
  if (!(error instanceof TransactionCanceledException)) return false;
  const reasons = error.CancellationReasons ?? [];
  return reasons.some((reason) => reason.Code === CONDITION_FAILED);
}

function encodeItem(row: Row): Record<string, AttributeValue> {
  const attributes = Object.entries(row.attributes)
    .map(([name, value]) => [name, encodeValue(value)]);
  return { ...Object.fromEntries(attributes), [KEY_ATTRIBUTE]: { S: row.key } };
}

function encodeValue(value: string | number): AttributeValue {
  return typeof value === "number" ? { N: String(value) } : { S: value };
}

function decodeRow(key: string, item: Record<string, AttributeValue>): Row {
  const attributes: Record<string, string | number> = {};
  for (const [name, value] of Object.entries(item)) {
    if (name === KEY_ATTRIBUTE) continue;
    if (value.S !== undefined) attributes[name] = value.S;
    if (value.N !== undefined) attributes[name] = Number(value.N);
  }
  return { key, attributes };
}
