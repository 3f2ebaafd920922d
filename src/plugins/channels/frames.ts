/**
 * Frames on a connection between proxies: a 4-byte length and a JSON array. The
 * JSON is latin1, so that a text of arbitrary bytes, held as code points up to
 * 255, costs about one byte for each.
 *
 * @module
 */
import type { HeldBytes } from "./held_bytes.ts";

/** Version of the frames; a peer with another one is not talked to. */
export const FRAMES_VERSION = 1;

/**
 * Maximum length of a frame, in bytes: a statement of 1 MiB and 4 MiB of session
 * values, written by `encodeText` with at most a third more, and their names.
 */
export const FRAME_MAX_BYTES = 7 * 1024 * 1024;

/** Kinds of frames, the first value of each. */
export const FrameKinds = {
  HELLO: 0,
  CALL: 1,
  ANSWER: 2,
  FAILURE: 3,
  MESSAGE: 4,
  PING: 5,
  PONG: 6,
} as const;

/** The values of a frame; the first is its kind. */
export type Frame = readonly unknown[];

const LENGTH_BYTES = 4;

/** Bytes kept of a frame without room: enough for its kind and the number of its call. */
const HEAD_BYTES = 32;

const ENCODING = "latin1";

// deno-lint-ignore no-control-regex
const BEYOND_LATIN1 = /[^\x00-\xff]/g;

/** Encodes a frame; undefined if it is too long. */
export function encodeFrame(frame: Frame): Buffer | undefined {
  const json = JSON.stringify(frame);
  // A text of one byte for each character can't match; the search is skipped then.
  const text = json.search(BEYOND_LATIN1) < 0
    ? json
    : json.replace(BEYOND_LATIN1, escapeCharacter);
  if (text.length > FRAME_MAX_BYTES) return undefined;
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + text.length);
  bytes.writeUInt32BE(text.length);
  bytes.write(text, LENGTH_BYTES, ENCODING);
  return bytes;
}

function escapeCharacter(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;
}

/** A text in a frame: as it is, or as base64. */
export type EncodedText = string | readonly [base64: string];

/** Texts up to this length are never written as base64; what JSON escapes in them is bounded by the overhead that sessions count for each. */
const SHORT_TEXT_LENGTH = 64;

/** Number of characters that JSON adds for an escaped control character. */
const CONTROL_EXTRA_LENGTH = 5;

// deno-lint-ignore no-control-regex
const ESCAPED = /[\x00-\x1f"\\]/g;

/** Encodes a text of code points up to 255 for a frame, so that JSON makes it at most a third longer. */
export function encodeText(text: string): EncodedText {
  if (text.length <= SHORT_TEXT_LENGTH) return text;
  let extra = 0;
  for (const [character] of text.matchAll(ESCAPED)) {
    extra += character < " " ? CONTROL_EXTRA_LENGTH : 1;
    if (3 * extra > text.length) {
      return [Buffer.from(text, ENCODING).toString("base64")];
    }
  }
  return text;
}

/** Decodes a text; undefined if the value is none. */
export function decodeText(value: unknown): string | undefined {
  if (typeof value === "string") return value;
  if (!Array.isArray(value) || typeof value[0] !== "string") return undefined;
  return Buffer.from(value[0], "base64").toString(ENCODING);
}

/** Receives what a reader finds in a stream. */
export interface FrameReceiver {
  /** A whole frame, of which `length` bytes are held until they are released. */
  onFrame(frame: Frame, length: number): void;
  /** A frame for which there was no room; `head` are its first characters. */
  onSkipped(head: string): void;
}

/** Splits a stream into frames; holds at most one incomplete frame. */
export class FrameReader {
  readonly #receiver: FrameReceiver;
  readonly #held: HeldBytes;
  /** What has arrived of the frame, or of its length. */
  #parts: Buffer[] = [];
  #arrived = 0;
  /** Length of the frame that is being received. */
  #length: number | undefined;
  #isSkipping = false;
  #isClosed = false;

  constructor(receiver: FrameReceiver, held: HeldBytes) {
    this.#receiver = receiver;
    this.#held = held;
  }

  /** Reads a chunk; returns false if the stream is malformed. */
  push(chunk: Buffer): boolean {
    let rest = chunk;
    while (rest.length > 0 && !this.#isClosed) {
      const needed = (this.#length ?? LENGTH_BYTES) - this.#arrived;
      const part = rest.subarray(0, needed);
      rest = rest.subarray(part.length);
      this.#keep(part);
      if (part.length < needed) continue;
      const isValid = this.#length === undefined
        ? this.#beginFrame()
        : this.#endFrame(this.#length);
      if (!isValid) return false;
    }
    return true;
  }

  /** Releases an incomplete frame; nothing is read any more. */
  close(): void {
    this.#isClosed = true;
    if (this.#length !== undefined && !this.#isSkipping) {
      this.#held.release(this.#length);
    }
    this.#reset(undefined);
  }

  #keep(part: Buffer): void {
    this.#arrived += part.length;
    const isHead = this.#arrived - part.length < HEAD_BYTES;
    if (!this.#isSkipping || isHead) this.#parts.push(part);
  }

  #beginFrame(): boolean {
    const length = this.#takeBytes().readUInt32BE();
    if (length === 0 || length > FRAME_MAX_BYTES) return false;
    this.#reset(length);
    this.#isSkipping = !this.#held.tryHold(length);
    return true;
  }

  #endFrame(length: number): boolean {
    const bytes = this.#takeBytes();
    const wasSkipped = this.#isSkipping;
    this.#reset(undefined);
    if (wasSkipped) {
      this.#receiver.onSkipped(bytes.toString(ENCODING, 0, HEAD_BYTES));
      return true;
    }
    const frame = parseFrame(bytes);
    if (frame) this.#receiver.onFrame(frame, length);
    else this.#held.release(length);
    return frame !== undefined;
  }

  #takeBytes(): Buffer {
    return this.#parts.length === 1
      ? this.#parts[0]!
      : Buffer.concat(this.#parts);
  }

  #reset(length: number | undefined): void {
    this.#length = length;
    this.#parts = [];
    this.#arrived = 0;
    this.#isSkipping = false;
  }
}

function parseFrame(bytes: Buffer): Frame | undefined {
  try {
    const parsed: unknown = JSON.parse(bytes.toString(ENCODING));
    return Array.isArray(parsed) ? parsed : undefined;
  } catch {
    // The connection's log line says that it is malformed.
    return undefined;
  }
}

const CALL_HEAD = /^\[1,(\d{1,15}),/;

/** An answer or a failure: kind, stamp, number of the call. */
const ANSWER_HEAD = /^\[[23],\d{1,15},(\d{1,15}),/;

/** The number of the call that a skipped frame began with; undefined for another kind of frame. */
export function parseCallNumber(head: string): number | undefined {
  return parseNumber(CALL_HEAD, head);
}

/** The number of the call that a skipped frame answered; undefined for another kind of frame. */
export function parseAnswerNumber(head: string): number | undefined {
  return parseNumber(ANSWER_HEAD, head);
}

function parseNumber(pattern: RegExp, head: string): number | undefined {
  const match = pattern.exec(head);
  return match ? Number(match[1]) : undefined;
}
