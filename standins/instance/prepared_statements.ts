/**
 * Prepared statements and portals of one connection. The engine has a single
 * session, so the names of statements are prefixed per connection there.
 *
 * @module
 */
import { type ControlStatement, parseControlStatement } from "./control.ts";
import { inspectStatement, type Statement } from "./statement.ts";
import { createMessage, type Message, readString } from "./wire.ts";

const HEADER_BYTES = 5;

/** Content of a prepared statement: a control statement or a statement for the engine. */
export interface PreparedStatement {
  readonly control?: ControlStatement;
  readonly statement?: Statement;
}

/** Tracks statements and portals by name, and rewrites messages to the engine's names. */
export class PreparedStatements {
  readonly #prefix: string;
  readonly #statements = new Map<string, PreparedStatement>();
  readonly #portals = new Map<string, PreparedStatement>();

  constructor(connectionId: number) {
    this.#prefix = `c${connectionId}_`;
  }

  /** Records a Parse; returns the statement and the caller's name for it. */
  recordParse(
    { bytes }: Message,
  ): { readonly name: string; readonly prepared: PreparedStatement } {
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

  /** Returns a Parse with the engine's name, and with the text replaced if one is given. */
  rewriteParse({ bytes }: Message, text?: string): Buffer {
    const [name, offset] = readString(bytes, HEADER_BYTES);
    const [originalText, end] = readString(bytes, offset);
    const rest = bytes.subarray(end);
    return createMessage("P", this.#prefix + name, text ?? originalText, rest);
  }

  /** Creates a Close of the unnamed statement, which a Parse replaces. */
  createCloseUnnamed(): Buffer {
    return createMessage("C", Buffer.from("S"), this.#prefix);
  }

  /** Records a Bind; returns the bound statement, empty when unknown. */
  recordBind({ bytes }: Message): PreparedStatement {
    const [portal, offset] = readString(bytes, HEADER_BYTES);
    const [name] = readString(bytes, offset);
    const prepared = this.#statements.get(name) ?? {};
    this.#portals.set(portal, prepared);
    return prepared;
  }

  /** Returns a Bind with the engine's name of the statement. */
  rewriteBind({ bytes }: Message): Buffer {
    const [portal, offset] = readString(bytes, HEADER_BYTES);
    const [name, end] = readString(bytes, offset);
    return createMessage("B", portal, this.#prefix + name, bytes.subarray(end));
  }

  /** Finds the target of a Describe or Close; empty when unknown. */
  findTarget({ bytes }: Message): PreparedStatement {
    const [name] = readString(bytes, HEADER_BYTES + 1);
    const map = isStatement(bytes) ? this.#statements : this.#portals;
    return map.get(name) ?? {};
  }

  /** Returns a Describe or Close with the engine's name of its target. */
  rewriteTarget({ type, bytes }: Message): Buffer {
    if (!isStatement(bytes)) return bytes;
    const [name] = readString(bytes, HEADER_BYTES + 1);
    return createMessage(type, Buffer.from("S"), this.#prefix + name);
  }

  /** Records a Close of a statement or portal. */
  recordClose({ bytes }: Message): void {
    const [name] = readString(bytes, HEADER_BYTES + 1);
    (isStatement(bytes) ? this.#statements : this.#portals).delete(name);
  }

  /** Finds the statement of the portal that an Execute runs; empty when unknown. */
  findPortal({ bytes }: Message): PreparedStatement {
    const [portal] = readString(bytes, HEADER_BYTES);
    return this.#portals.get(portal) ?? {};
  }

  /** Removes all statements and portals; returns the messages that close the statements on the engine. */
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
