/**
 * Signatures of the messages between peers. A request is bound to its sender's
 * start, the receiver's start and a sequence number; an answer is bound to its
 * request. So nothing that was recorded counts again, and no clocks are compared.
 *
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Name of the header that carries a signature. */
export const SIGNATURE_HEADER = "authorization";

/** Start of a receiver that the sender does not know yet. */
export const UNKNOWN_START = "-";

const START_BYTES = 9;
const SIGNATURE_BYTES = 18;
const HEADER_PATTERN = /^([\w-]{12})\.([\w-]{1,12})\.(\d{1,15})\.([\w-]{24})$/;

/** What a request's signature covers besides path and body. */
export interface RequestOrigin {
  /** Identifies one start of the sending process. */
  readonly sender: string;
  /** Identifies the start of the receiving process that the request is meant for. */
  readonly receiver: string;
  /** Grows with each request of the sender. */
  readonly sequence: number;
}

/** A request's origin and its signature. */
export interface SignedOrigin extends RequestOrigin {
  readonly signature: string;
}

/** Makes the identity of a start. */
export function createStartId(): string {
  return randomBytes(START_BYTES).toString("base64url");
}

/** Signs a request. */
export function signRequest(
  key: string,
  origin: RequestOrigin,
  path: string,
  body: string,
): SignedOrigin {
  const parts = ["request", formatOrigin(origin), path, body];
  return { ...origin, signature: sign(key, parts) };
}

/** The key under which a request was signed; undefined when none fits. */
export function findKey(
  keys: readonly string[],
  signed: SignedOrigin,
  path: string,
  body: string,
): string | undefined {
  return keys.find((key) =>
    equal(signRequest(key, signed, path, body).signature, signed.signature)
  );
}

/** Writes the header of a request. */
export function formatSignedOrigin(signed: SignedOrigin): string {
  return `${formatOrigin(signed)}.${signed.signature}`;
}

/** Reads the header of a request; undefined for any other text. */
export function parseSignedOrigin(text: string): SignedOrigin | undefined {
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

/** Signs the answer to a request. */
export function signAnswer(
  key: string,
  requestSignature: string,
  status: number,
  body: string,
): string {
  return sign(key, ["answer", requestSignature, String(status), body]);
}

/** Whether an answer belongs to the request and was signed under the key. */
export function verifyAnswer(
  key: string,
  requestSignature: string,
  status: number,
  body: string,
  signature: string,
): boolean {
  return equal(signAnswer(key, requestSignature, status, body), signature);
}

function formatOrigin(origin: RequestOrigin): string {
  return `${origin.sender}.${origin.receiver}.${origin.sequence}`;
}

function sign(key: string, parts: readonly string[]): string {
  return createHmac("sha256", key)
    .update(parts.join("\n"), "utf8")
    .digest()
    .subarray(0, SIGNATURE_BYTES)
    .toString("base64url");
}

function equal(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}
