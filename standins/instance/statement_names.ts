/**
 * Prepared statements of one connection. The engine has one session, so a
 * connection's names get a prefix there.
 *
 * @module
 */
import { type ControlStatement, parseControlStatement } from "./control.ts";
import { inspectStatement, type Statement } from "./statement.ts";
import { createMessage, type Message, readString } from "./wire.ts";

const HEADER_BYTES = 5;

/** A statement that was prepared. */
export interface Prepared {
  readonly control?: ControlStatement;
  readonly statement?: Statement;
}

/** Reads Parse, Bind, Describe, Execute and Close and writes them with the engine's names. */
export class StatementNames {
  readonly #prefix: string;
  readonly #statements = new Map<string, Prepared>();
  readonly #portals = new Map<string, Prepared>();

  constructor(connection: number) {
    this.#prefix = `c${connection}_`;
  }

  /** Notes a Parse and gives what it prepares, under the caller's name. */
  parse(
    { bytes }: Message,
  ): { readonly name: string; readonly prepared: Prepared } {
    const [name, offset] = readString(bytes, HEADER_BYTES);
    const [text] = readString(bytes, offset);
    const control = parseControlStatement(text);
    const prepared = control
      ? { control }
      : { statement: inspectStatement(text) };
    if (name === "" || !this.#statements.has(name)) {
      this.#statements.set(name, prepared);
    }
    return { name, prepared };
  }

  /** A Parse under the engine's name, with another text where one is given. */
  writeParse({ bytes }: Message, text?: string): Buffer {
    const [name, offset] = readString(bytes, HEADER_BYTES);
    const [own, end] = readString(bytes, offset);
    const rest = bytes.subarray(end);
    return createMessage("P", this.#prefix + name, text ?? own, rest);
  }

  /** A Close of the unnamed statement, which a Parse replaces. */
  writeCloseUnnamed(): Buffer {
    return createMessage("C", Buffer.from("S"), this.#prefix);
  }

  /** Notes a Bind and gives what it binds. */
  bind({ bytes }: Message): Prepared {
    const [portal, offset] = readString(bytes, HEADER_BYTES);
    const [name] = readString(bytes, offset);
    const prepared = this.#statements.get(name) ?? {};
    this.#portals.set(portal, prepared);
    return prepared;
  }

  /** A Bind under the engine's name. */
  writeBind({ bytes }: Message): Buffer {
    const [portal, offset] = readString(bytes, HEADER_BYTES);
    const [name, end] = readString(bytes, offset);
    return createMessage("B", portal, this.#prefix + name, bytes.subarray(end));
  }

  /** What a Describe or Close names. */
  target({ bytes }: Message): Prepared {
    const [name] = readString(bytes, HEADER_BYTES + 1);
    const map = isStatement(bytes) ? this.#statements : this.#portals;
    return map.get(name) ?? {};
  }

  /** A Describe or Close under the engine's name. */
  writeTarget({ type, bytes }: Message): Buffer {
    if (!isStatement(bytes)) return bytes;
    const [name] = readString(bytes, HEADER_BYTES + 1);
    return createMessage(type, Buffer.from("S"), this.#prefix + name);
  }

  /** Forgets what a Close names. */
  close({ bytes }: Message): void {
    const [name] = readString(bytes, HEADER_BYTES + 1);
    (isStatement(bytes) ? this.#statements : this.#portals).delete(name);
  }

  /** What an Execute runs. */
  executed({ bytes }: Message): Prepared {
    const [portal] = readString(bytes, HEADER_BYTES);
    return this.#portals.get(portal) ?? {};
  }

  /** Forgets all statements and gives the messages that close them at the engine. */
  closeAll(): Buffer {
    const names = [...this.#statements].filter(([, { control }]) => !control);
    this.#statements.clear();
    this.#portals.clear();
    return Buffer.concat(
      names.map(([name]) =>
        createMessage("C", Buffer.from("S"), this.#prefix + name)
      ),
    );
  }
}

function isStatement(bytes: Buffer): boolean {
  return bytes[HEADER_BYTES] === "S".charCodeAt(0);
}
