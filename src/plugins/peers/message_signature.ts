/**
 * HMAC signatures of the messages between peers. The signature of a request
 * covers the incarnations of sender and receiver and a sequence number; the
 * signature of a response covers that of its request. This prevents replay of
 * recorded messages without comparing clocks.
 *
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** HTTP header that carries the signature of a request or response. */
export const SIGNATURE_HEADER = "authorization";

/** Placeholder for the receiver's incarnation until the sender has learned it. */
export const UNKNOWN_INCARNATION = "-";

const INCARNATION_ID_BYTES = 9;
const SIGNATURE_BYTES = 18;
const HEADER_PATTERN = /^([\w-]{12})\.([\w-]{1,12})\.(\d{1,15})\.([\w-]{24})$/;

/** The fields that a request's signature covers in addition to path and body. */
export interface RequestHeader {
  /** Incarnation id of the sending client. */
  readonly sender: string;
  /** Incarnation id of the server that the request is intended for. */
  readonly receiver: string;
  /** Increases with each request of the sender. */
  readonly sequence: number;
}

/** A request header with its signature. */
export interface SignedRequestHeader extends RequestHeader {
  readonly signature: string;
}

/** Creates a random id for a new incarnation of a peer client or server. */
export function createIncarnationId(): string {
  return randomBytes(INCARNATION_ID_BYTES).toString("base64url");
}

/** Signs a request and returns its header with the signature. */
export function signRequest(
  key: string,
  header: RequestHeader,
  path: string,
  body: string,
): SignedRequestHeader {
  const parts = ["request", formatHeader(header), path, body];
  return { ...header, signature: sign(key, parts) };
}

/** Returns the key that a request was signed with; undefined if it is none of `keys`. */
export function findSigningKey(
  keys: readonly string[],
  signed: SignedRequestHeader,
  path: string,
  body: string,
): string | undefined {
  return keys.find((key) =>
    equalInConstantTime(
      signRequest(key, signed, path, body).signature,
      signed.signature,
    )
  );
}

/** Formats the header for transmission. */
export function formatSignedHeader(signed: SignedRequestHeader): string {
  return `${formatHeader(signed)}.${signed.signature}`;
}

/** Parses a transmitted header; returns undefined if it is malformed. */
export function parseSignedHeader(
  text: string,
): SignedRequestHeader | undefined {
  const match = HEADER_PATTERN.exec(text);
  if (!match) return undefined;
  const [, sender, receiver, sequence, signature] = match;
  return {
    sender: sender!,
    receiver: receiver!,
    sequence: Number(sequence),
    signature: signature!,
  };
}

/** Returns the signature of the response to a request. */
export function signResponse(
  key: string,
  requestSignature: string,
  status: number,
  body: string,
): string {
  return sign(key, ["answer", requestSignature, String(status), body]);
}

/** Whether a response belongs to the request and was signed with the key. */
export function verifyResponse(
  key: string,
  requestSignature: string,
  status: number,
  body: string,
  signature: string,
): boolean {
  return equalInConstantTime(
    signResponse(key, requestSignature, status, body),
    signature,
  );
}

function formatHeader(header: RequestHeader): string {
  return `${header.sender}.${header.receiver}.${header.sequence}`;
}

function sign(key: string, parts: readonly string[]): string {
  return createHmac("sha256", key)
    .update(parts.join("\n"), "utf8")
    .digest()
    .subarray(0, SIGNATURE_BYTES)
    .toString("base64url");
}

function equalInConstantTime(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}
