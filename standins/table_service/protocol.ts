/**
 * Implements the operations GetItem, PutItem and TransactWriteItems of the
 * DynamoDB protocol over JSON.
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

const itemSchema = z.record(z.string(), z.record(z.string(), z.unknown()));
const getRequestSchema = z.object({ TableName: z.string(), Key: itemSchema });
const putRequestSchema = z.object({
  TableName: z.string(),
  Item: itemSchema,
  ConditionExpression: z.string().optional(),
  ExpressionAttributeNames: z.record(z.string(), z.string()).optional(),
  ExpressionAttributeValues: itemSchema.optional(),
});
const transactionSchema = z.object({
  TransactItems: z.array(z.object({ Put: putRequestSchema })).min(1).max(100),
});

/** Handles one request of the protocol; an invalid request gets a ValidationException. */
export function handleRequest(
  tables: Tables,
  request: HttpRequest,
): HttpResponse {
  const target = String(request.headers["x-amz-target"] ?? "");
  const operation = target.slice(target.indexOf(".") + 1);
  try {
    return runOperation(tables, operation, parseJson(request.body));
  } catch (error) {
    const isClientError = error instanceof ExpressionError ||
      error instanceof z.ZodError;
    if (!isClientError) throw error;
    return createErrorResponse(operation, "ValidationException", error.message);
  }
}

function runOperation(
  tables: Tables,
  operation: string,
  body: unknown,
): HttpResponse {
  switch (operation) {
    case "GetItem": {
      const getRequest = getRequestSchema.parse(body);
      const found = tables.get(getRequest.TableName, getRequest.Key);
      return createSuccessResponse(
        operation,
        found ? { Item: found } : {},
        false,
      );
    }
    case "PutItem":
      return putItem(tables, putRequestSchema.parse(body));
    case "TransactWriteItems": {
      const puts = transactionSchema.parse(body).TransactItems;
      return writeTransaction(tables, puts.map((item) => item.Put));
    }
    default:
      return createErrorResponse(
        operation,
        "UnknownOperationException",
        `unsupported operation ${operation}`,
      );
  }
}

function putItem(tables: Tables, put: PutRequest): HttpResponse {
  const [holds] = tables.put([put]);
  if (holds) return createSuccessResponse("PutItem", {}, true);
  return createErrorResponse(
    "PutItem",
    "ConditionalCheckFailedException",
    "The conditional request failed",
  );
}

function writeTransaction(
  tables: Tables,
  puts: readonly PutRequest[],
): HttpResponse {
  const conditionResults = tables.put(puts);
  if (conditionResults.every((holds) => holds)) {
    return createSuccessResponse("TransactWriteItems", {}, true);
  }
  const codes = conditionResults.map((holds) =>
    holds ? "None" : "ConditionalCheckFailed"
  );
  return createErrorResponse(
    "TransactWriteItems",
    "TransactionCanceledException",
    `Transaction cancelled, reasons [${codes.join(", ")}]`,
    { CancellationReasons: codes.map((Code) => ({ Code })) },
  );
}

function createSuccessResponse(
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

function createErrorResponse(
  operation: string,
  type: string,
  message: string,
  extraFields: Readonly<Record<string, unknown>> = {},
): HttpResponse {
  return {
    status: 400,
    contentType: CONTENT_TYPE,
    body: JSON.stringify({
      __type: ERROR_PREFIX + type,
      message,
      ...extraFields,
    }),
    operation,
  };
}
