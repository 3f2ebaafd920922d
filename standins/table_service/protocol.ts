/**
 * The DynamoDB protocol over JSON: GetItem, PutItem, TransactWriteItems.
 *
 * @module
 */
import { z } from "zod";
import {
  type HttpRequest,
  type HttpResponse,
  parseJson,
} from "../common/fault_injection_server.ts";
import { ExpressionError } from "./expressions.ts";
import type { PutRequest, Tables } from "./tables.ts";

const CONTENT_TYPE = "application/x-amz-json-1.0";
const ERROR_PREFIX = "com.amazonaws.dynamodb.v20120810#";

const item = z.record(z.string(), z.record(z.string(), z.unknown()));
const getRequest = z.object({ TableName: z.string(), Key: item });
const putRequest = z.object({
  TableName: z.string(),
  Item: item,
  ConditionExpression: z.string().optional(),
  ExpressionAttributeNames: z.record(z.string(), z.string()).optional(),
  ExpressionAttributeValues: item.optional(),
});
const transaction = z.object({
  TransactItems: z.array(z.object({ Put: putRequest })).min(1).max(100),
});

/** Answers one request of the protocol. */
export function answerRequest(
  tables: Tables,
  request: HttpRequest,
): HttpResponse {
  const target = String(request.headers["x-amz-target"] ?? "");
  const operation = target.slice(target.indexOf(".") + 1);
  try {
    return runOperation(tables, operation, parseJson(request.body));
  } catch (error) {
    const known = error instanceof ExpressionError ||
      error instanceof z.ZodError;
    if (!known) throw error;
    return failure(operation, "ValidationException", error.message);
  }
}

function runOperation(
  tables: Tables,
  operation: string,
  body: unknown,
): HttpResponse {
  switch (operation) {
    case "GetItem": {
      const wanted = getRequest.parse(body);
      const found = tables.get(wanted.TableName, wanted.Key);
      return success(operation, found ? { Item: found } : {}, false);
    }
    case "PutItem":
      return putItem(tables, putRequest.parse(body));
    case "TransactWriteItems": {
      const puts = transaction.parse(body).TransactItems;
      return writeTransaction(tables, puts.map((one) => one.Put));
    }
    default:
      return failure(
        operation,
        "UnknownOperationException",
        `unsupported operation ${operation}`,
      );
  }
}

function putItem(tables: Tables, put: PutRequest): HttpResponse {
  const [held] = tables.put([put]);
  if (held) return success("PutItem", {}, true);
  return failure(
    "PutItem",
    "ConditionalCheckFailedException",
    "The conditional request failed",
  );
}

function writeTransaction(
  tables: Tables,
  puts: readonly PutRequest[],
): HttpResponse {
  const verdicts = tables.put(puts);
  if (verdicts.every((held) => held)) {
    return success("TransactWriteItems", {}, true);
  }
  const codes = verdicts.map((held) =>
    held ? "None" : "ConditionalCheckFailed"
  );
  return failure(
    "TransactWriteItems",
    "TransactionCanceledException",
    `Transaction cancelled, reasons [${codes.join(", ")}]`,
    { CancellationReasons: codes.map((Code) => ({ Code })) },
  );
}

function success(
  operation: string,
  body: unknown,
  changed: boolean,
): HttpResponse {
  return {
    status: 200,
    contentType: CONTENT_TYPE,
    body: JSON.stringify(body),
    operation,
    changed,
  };
}

function failure(
  operation: string,
  type: string,
  message: string,
  rest: Readonly<Record<string, unknown>> = {},
): HttpResponse {
  return {
    status: 400,
    contentType: CONTENT_TYPE,
    body: JSON.stringify({ __type: ERROR_PREFIX + type, message, ...rest }),
    operation,
  };
}
