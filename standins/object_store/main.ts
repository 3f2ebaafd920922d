/**
 * Stand-in for the object store: a daemon that speaks the S3 protocol with
 * path-style URLs and supports PUT, GET and HEAD of whole objects.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  announceReady,
  daemonFlags,
  listen,
  readFlags,
  stopOnSignal,
} from "../common/daemon.ts";
import {
  FaultInjectionServer,
  type HttpRequest,
  type HttpResponse,
} from "../common/fault_injection_server.ts";

const objects = new Map<string, Buffer>();

function handleRequest(request: HttpRequest): HttpResponse {
  switch (request.method) {
    case "PUT":
      objects.set(request.path, request.body);
      return {
        status: 200,
        headers: { etag: entityTag(request.body) },
        operation: "PutObject",
        changed: true,
      };
    case "GET":
    case "HEAD":
      return readObject(request);
    default:
      return createErrorResponse(405, "MethodNotAllowed", request.method);
  }
}

function readObject(request: HttpRequest): HttpResponse {
  const operation = request.method === "GET" ? "GetObject" : "HeadObject";
  const body = objects.get(request.path);
  if (!body) return createErrorResponse(404, "NoSuchKey", operation);
  const headers = {
    etag: entityTag(body),
    "content-length": String(body.length),
  };
  const contentType = "application/octet-stream";
  return { status: 200, contentType, headers, body, operation };
}

function createErrorResponse(
  status: number,
  code: string,
  operation: string,
): HttpResponse {
  const body = `<?xml version="1.0" encoding="UTF-8"?>\n` +
    `<Error><Code>${code}</Code><Message>${code}</Message></Error>`;
  return { status, contentType: "application/xml", body, operation };
}

function entityTag(body: Buffer): string {
  return `"${createHash("md5").update(body).digest("hex")}"`;
}

const flags = readFlags(daemonFlags);
const daemon = new FaultInjectionServer(handleRequest);
const { port } = await listen(daemon.server, flags.address, flags.port);
stopOnSignal(() => daemon.stop());
announceReady(flags.address, port);
