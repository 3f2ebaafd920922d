/**
 * One connection's use of the engine: holds the mutex from the first statement to
 * the end of its transaction, with the connection's own settings in force.
 *
 * @module
 */
import {
  type EngineResponse,
  filterResponse,
  type SuppressedMessages,
  type TransactionStatus,
} from "./engine_response.ts";
import type { DatabaseInstance } from "./instance.ts";
import {
  NO_SETTINGS,
  readSettings,
  type SessionSettings,
} from "./session_settings.ts";
import type { Statement } from "./statement.ts";
import { createMessage, SqlFailure } from "./wire.ts";

const ROLLBACK = Buffer.concat([
  createMessage("Q", "ROLLBACK"),
  createMessage("S"),
  createMessage("Q", "ROLLBACK"),
]);

/** The connection was terminated between entering and running. */
const LEFT = new SqlFailure(
  "57P01",
  "terminating connection due to administrator command",
);

/** Runs messages on the engine for one connection. */
export class EngineAccess {
  readonly #instance: DatabaseInstance;
  readonly #customSettings = new Set<string>();
  #settings: SessionSettings;
  #settingsChanged = false;
  #status: TransactionStatus = "I";
  #closed = false;
  #wrote = false;
  #schemaChanged = false;

  constructor(instance: DatabaseInstance, settings: SessionSettings) {
    this.#instance = instance;
    this.#settings = settings;
  }

  /** Whether this connection holds the mutex: its transaction is open. */
  get held(): boolean {
    return this.#instance.database.mutex.isHeldBy(this);
  }

  /** Whether a transaction block is open. */
  get inTransaction(): boolean {
    return this.#status !== "I";
  }

  /** ReadyForQuery as of now. */
  get ready(): Buffer {
    return createMessage("Z", Buffer.from(this.#status));
  }

  /** Whether the open transaction may have changed something. */
  get wrote(): boolean {
    return this.#wrote;
  }

  /** Waits for the mutex and puts the connection's settings in force. */
  async enter(): Promise<void> {
    if (this.#closed) throw LEFT;
    if (this.held) return;
    const { database } = this.#instance;
    await database.mutex.acquire(this);
    if (!this.held) throw LEFT;
    try {
      database.useSettings(this.#settings);
    } catch (error) {
      database.mutex.release(this);
      throw error;
    }
  }

  /** Rolls back what is open and runs nothing more, also not what has arrived already. */
  close(reason: SqlFailure): void {
    this.#closed = true;
    this.abandon(reason);
    this.rollback();
  }

  /** Ends the wait for the mutex; gives false when there is none. */
  abandon(reason: SqlFailure): boolean {
    return this.#instance.database.mutex.cancelWait(this, reason);
  }

  /** Notes what running a statement may do besides its answers. */
  note(statement: Statement): void {
    if (statement.changesSequence) this.#wrote = true;
    if (!statement.changesSettings) return;
    this.#settingsChanged = true;
    for (const name of statement.customSettings) this.#customSettings.add(name);
  }

  /** Runs messages; the mutex must be held, and is released when the transaction has ended. */
  execute(messages: Buffer, hidden: SuppressedMessages = {}): EngineResponse {
    if (this.#closed || !this.held) throw LEFT;
    const { database } = this.#instance;
    const answers = filterResponse(database.engine.execute(messages), hidden);
    this.#wrote ||= answers.wrote;
    this.#schemaChanged ||= answers.schemaChanged;
    this.#status = answers.status ?? this.#status;
    if (answers.status === "I") this.#finish();
    return answers;
  }

  /** Rolls back what is open and releases the mutex. */
  rollback(): void {
    if (!this.held) return;
    this.#instance.database.engine.execute(ROLLBACK);
    this.#finish();
  }

  #finish(): void {
    const { database, role, seenTerm } = this.#instance;
    const primary = role === "primary" && !database.readOnly;
    if (primary && (this.#wrote || this.#schemaChanged)) {
      database.commit(seenTerm, this.#schemaChanged);
    }
    this.#status = "I";
    this.#wrote = false;
    this.#schemaChanged = false;
    if (this.#settingsChanged) this.#readSettings();
    database.mutex.release(this);
  }

  #readSettings(): void {
    const { database } = this.#instance;
    this.#settingsChanged = false;
    this.#settings = readSettings(database.engine, this.#customSettings);
    const unchanged = this.#settings === NO_SETTINGS;
    database.noteSettings(unchanged ? undefined : this.#settings);
  }
}
