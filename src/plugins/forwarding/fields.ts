/**
 * Reads the fields of a message in order.
 *
 * @module
 */
import { decodeText } from "../channels/frames.ts";

/** The fields of a message; each method takes the next one and throws if it has another type. */
export class Fields {
  readonly #values: readonly unknown[];
  #index = 0;

  constructor(body: unknown) {
    if (!Array.isArray(body)) throw new Error("the message is no array");
    this.#values = body;
  }

  /** Whether the next field is null or missing. */
  isNull(): boolean {
    return (this.#values[this.#index] ?? null) === null;
  }

  /** Skips the next field. */
  skip(): undefined {
    this.#index += 1;
  }

  number(): number {
    const value = this.#take();
    if (typeof value === "number") return value;
    throw this.#unexpected("number");
  }

  optionalNumber(): number | undefined {
    return this.isNull() ? this.skip() : this.number();
  }

  string(): string {
    const value = this.#take();
    if (typeof value === "string") return value;
    throw this.#unexpected("string");
  }

  optionalString(): string | undefined {
    return this.isNull() ? this.skip() : this.string();
  }

  /** A text that was written by `encodeText`. */
  text(): string {
    const text = decodeText(this.#take());
    if (text !== undefined) return text;
    throw this.#unexpected("text");
  }

  optionalText(): string | undefined {
    return this.isNull() ? this.skip() : this.text();
  }

  boolean(): boolean {
    const value = this.#take();
    if (typeof value === "boolean") return value;
    throw this.#unexpected("boolean");
  }

  /** One of a list, written as its index. */
  choice<T>(list: readonly T[]): T {
    const value = list[this.number()];
    if (value !== undefined) return value;
    throw this.#unexpected("choice");
  }

  array(): readonly unknown[] {
    const value = this.#take();
    if (Array.isArray(value)) return value;
    throw this.#unexpected("array");
  }

  /** The fields of a list within the message. */
  list(): Fields {
    return new Fields(this.array());
  }

  #take(): unknown {
    const value = this.#values[this.#index];
    this.#index += 1;
    return value;
  }

  #unexpected(type: string): Error {
    return new Error(`field ${this.#index} is no ${type}`);
  }
}
