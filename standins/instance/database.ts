/**
 * The database of an instance: the engine, the mutex around it, and how far the
 * log is applied to it.
 *
 * @module
 */
import { Applier } from "./apply.ts";
import { Capture } from "./capture.ts";
import { Engine } from "./engine.ts";
import { Mutex } from "./mutex.ts";
import { changesOf, type Log } from "./log.ts";
import {
  applySettings,
  NO_SETTINGS,
  type SessionSettings,
} from "./session_settings.ts";

const APPLY_BATCH = 200;

/** An engine that holds the log up to a position. */
export class Database {
  readonly mutex = new Mutex();
  readonly #log: Log;
  readonly #initSql: string;
  #engine: Engine;
  #capture: Capture;
  #applier: Applier;
  #settings: SessionSettings | undefined;
  #readOnly = true;
  /** Whether the schema may have changed since the capture was last refreshed. */
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

  /** Starts the engine with the tables that are the same everywhere. */
  static async create(log: Log, initSql: string): Promise<Database> {
    return new Database(log, initSql, await Engine.create());
  }

  get engine(): Engine {
    return this.#engine;
  }

  /** Position up to which the log is visible. */
  get applied(): bigint {
    return this.#applied;
  }

  get readOnly(): boolean {
    return this.#readOnly;
  }

  /** Refuses or takes writes from the next transaction on. */
  setReadOnly(readOnly: boolean): void {
    this.#readOnly = readOnly;
    this.#settings = undefined;
  }

  /** Writes the first entry of a term. */
  startTerm(term: number): void {
    this.setReadOnly(false);
    this.#captureIsStale = true;
    this.#log.write(term, []);
    this.#applied = this.#log.end;
  }

  /** Records what the transaction that just ended has changed; called before its answer is sent. */
  commit(term: number, schemaChanged: boolean): void {
    if (schemaChanged || this.#captureIsStale) this.#capture.refresh();
    this.#captureIsStale = false;
    const changes = this.#capture.take();
    if (changes.length === 0) return;
    this.#log.write(term, changes);
    this.#applied = this.#log.end;
  }

  /** Puts a connection's settings in force; the mutex must be held by it. */
  useSettings(settings: SessionSettings): void {
    if (this.#settings === settings) return;
    this.#settings = undefined;
    applySettings(this.#engine, settings, this.#readOnly);
    this.#settings = settings;
  }

  /** Says which settings are in force, undefined when they are not known. */
  noteSettings(settings: SessionSettings | undefined): void {
    this.#settings = settings;
  }

  /** Applies some of the entries that were appended until a time; the mutex must be held. */
  applyUntil(time: number): void {
    this.useSettings(NO_SETTINGS);
    for (const entry of this.#log.read(this.#applied, APPLY_BATCH)) {
      if (entry.at > time) return;
      this.#applier.apply(changesOf(entry));
      this.#applied = entry.end;
    }
  }

  /** Starts anew and applies the whole log; others wait for the mutex meanwhile. */
  async rebuild(): Promise<void> {
    const holder = {};
    await this.mutex.acquire(holder);
    const former = this.#engine;
    this.#engine = await Engine.create();
    this.#capture = new Capture(this.#engine);
    this.#applier = new Applier(this.#engine);
    this.#settings = undefined;
    this.#applied = 0n;
    this.#capture.start(this.#initSql);
    await former.close().catch(() => {});
    while (this.#applied < this.#log.end) {
      this.applyUntil(Infinity);
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.mutex.release(holder);
  }
}
