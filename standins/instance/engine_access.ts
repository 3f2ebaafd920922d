/**
 * Access of one connection to the engine: holds the mutex from the first statement
 * of a transaction to its end, with the session settings of the connection applied.
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

/** Failure of a connection that was terminated while it waited for the mutex or before it ran a message. */
const TERMINATED = new SqlFailure(
  "57P01",
  "terminating connection due to administrator command",
);

/** Runs the messages of one connection on the engine. */
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

  /** Whether this connection holds the mutex, as it does while its transaction is open. */
  get holdsMutex(): boolean {
    return this.#instance.database.mutex.isHeldBy(this);
  }

  /** Whether a transaction block is open. */
  get inTransaction(): boolean {
    return this.#status !== "I";
  }

  /** ReadyForQuery message with the current transaction status. */
  get readyForQuery(): Buffer {
    return createMessage("Z", Buffer.from(this.#status));
  }

  /** Whether the open transaction may have changed data. */
  get wrote(): boolean {
    return this.#wrote;
  }

  /** Acquires the mutex and applies the session settings; returns at once if the mutex is already held. */
  async acquire(): Promise<void> {
    if (this.#closed) throw TERMINATED;
    if (this.holdsMutex) return;
    const { database } = this.#instance;
    await database.mutex.acquire(this);
    if (!this.holdsMutex) throw TERMINATED;
    try {
      database.activateSettings(this.#settings);
    } catch (error) {
      database.mutex.release(this);
      throw error;
    }
  }

  /** Rolls back the open transaction and refuses all further messages, including those already received. */
  close(reason: SqlFailure): void {
    this.#closed = true;
    this.cancelWait(reason);
    this.rollback();
  }

  /** Cancels a wait for the mutex; returns false if the connection is not waiting. */
  cancelWait(reason: SqlFailure): boolean {
    return this.#instance.database.mutex.cancelWait(this, reason);
  }

  /** Records the effects of a statement on sequences and session settings; call before the statement runs. */
  recordEffects(statement: Statement): void {
    if (statement.changesSequence) this.#wrote = true;
    if (!statement.changesSettings) return;
    this.#settingsChanged = true;
    for (const name of statement.customSettings) this.#customSettings.add(name);
  }

  /** Runs messages while holding the mutex, and releases it when the transaction has ended. */
  execute(
    messages: Buffer,
    suppressed: SuppressedMessages = {},
  ): EngineResponse {
    if (this.#closed || !this.holdsMutex) throw TERMINATED;
    const { database } = this.#instance;
    const response = filterResponse(
      database.engine.execute(messages),
      suppressed,
    );
    this.#wrote ||= response.wrote;
    this.#schemaChanged ||= response.schemaChanged;
    this.#status = response.status ?? this.#status;
    if (response.status === "I") this.#finish();
    return response;
  }

  /** Rolls back the open transaction and releases the mutex; does nothing if the mutex is not held. */
  rollback(): void {
    if (!this.holdsMutex) return;
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
    database.setActiveSettings(unchanged ? undefined : this.#settings);
  }
}
