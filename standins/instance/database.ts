/**
 * Database of an instance: the engine, the mutex that guards it, and the log
 * position up to which the log is applied.
 *
 * @module
 */
import { Applier } from "./apply.ts";
import { Capture } from "./capture.ts";
import { Engine } from "./engine.ts";
import { Mutex } from "./mutex.ts";
import { type Log, parseChanges } from "./log.ts";
import {
  applySettings,
  NO_SETTINGS,
  type SessionSettings,
} from "./session_settings.ts";

const APPLY_BATCH = 200;

/** Engine to which the log is applied up to a position. */
export class Database {
  readonly mutex = new Mutex();
  readonly #log: Log;
  readonly #initSql: string;
  #engine: Engine;
  #capture: Capture;
  #applier: Applier;
  #settings: SessionSettings | undefined;
  #readOnly = true;
  /** Whether the schema may have changed since the capture last read the list of sequences. */
  #captureIsStale = false;
  #applied = 0n;

  private constructor(log: Log, initSql: string, engine: Engine) {
    this.#log = log;
    this.#initSql = initSql;
    this.#engine = engine;
    this.#capture = new Capture(engine);
    this.#applier = new Applier(engine);
    this.#capture.start(initSql);
  }

  /** Starts the engine and runs `initSql`, which is the same on every instance. */
  static async create(log: Log, initSql: string): Promise<Database> {
    return new Database(log, initSql, await Engine.create());
  }

  get engine(): Engine {
    return this.#engine;
  }

  /** Log position up to which the log is applied, and so visible to reads. */
  get applied(): bigint {
    return this.#applied;
  }

  /** Whether transactions are read-only by default. */
  get readOnly(): boolean {
    return this.#readOnly;
  }

  /** Refuses or accepts writes from the next transaction on. */
  setReadOnly(readOnly: boolean): void {
    this.#readOnly = readOnly;
    this.#settings = undefined;
  }

  /** Starts a term as its primary: accepts writes and appends the first entry of the term. */
  startTerm(term: number): void {
    this.setReadOnly(false);
    this.#captureIsStale = true;
    this.#log.appendChanges(term, []);
    this.#applied = this.#log.end;
  }

  /** Appends the changes of the transaction that just ended to the log; called before its response is sent. */
  commit(term: number, schemaChanged: boolean): void {
    if (schemaChanged || this.#captureIsStale) this.#capture.refreshSequences();
    this.#captureIsStale = false;
    const changes = this.#capture.takeChanges();
    if (changes.length === 0) return;
    this.#log.appendChanges(term, changes);
    this.#applied = this.#log.end;
  }

  /** Applies a connection's session settings to the engine; the connection must hold the mutex. */
  activateSettings(settings: SessionSettings): void {
    if (this.#settings === settings) return;
    this.#settings = undefined;
    applySettings(this.#engine, settings, this.#readOnly);
    this.#settings = settings;
  }

  /** Records the settings that the engine already has; undefined if unknown. */
  setActiveSettings(settings: SessionSettings | undefined): void {
    this.#settings = settings;
  }

  /**
   * Applies the next batch of entries appended up to `time`, in ms of
   * `performance.now()`; the caller must hold the mutex.
   */
  applyUntil(time: number): void {
    this.activateSettings(NO_SETTINGS);
    for (const entry of this.#log.read(this.#applied, APPLY_BATCH)) {
      if (entry.appendedAt > time) return;
      this.#applier.apply(parseChanges(entry));
      this.#applied = entry.end;
    }
  }

  /** Replaces the engine by a new one and applies the whole log, holding the mutex meanwhile. */
  async rebuild(): Promise<void> {
    const holder = {};
    await this.mutex.acquire(holder);
    const previous = this.#engine;
    this.#engine = await Engine.create();
    this.#capture = new Capture(this.#engine);
    this.#applier = new Applier(this.#engine);
    this.#settings = undefined;
    this.#applied = 0n;
    this.#capture.start(this.#initSql);
    await previous.close().catch(() => {});
    while (this.#applied < this.#log.end) {
      this.applyUntil(Infinity);
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.mutex.release(holder);
  }
}
