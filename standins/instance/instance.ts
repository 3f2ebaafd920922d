/**
 * One instance of a database group: its role, the terms it has seen, and the
 * orders fence, promote and follow.
 *
 * @module
 */
import type { Logger } from "pino";
import type {
  InstanceStatus,
  Role,
} from "../../src/plugins/upstream/database_group.ts";
import type {
  LogHistory,
  Position,
} from "../../src/plugins/upstream/position.ts";
import { Database } from "./database.ts";
import { Follower } from "./follower.ts";
import { commonPosition, Log } from "./log.ts";
import { Replay } from "./replay.ts";
import { SeenTerm } from "./seen_term.ts";
import type { Settings, Source } from "./settings.ts";
import { SqlFailure } from "./wire.ts";

/** A caller's connection as the instance sees it. */
export interface SessionHandle {
  /** Control connections outlive a rebuild. */
  readonly control: boolean;
  /** Whether a transaction of it is open. */
  readonly inTransaction: boolean;
  /** Ends the connection and rolls its transaction back. */
  terminate(failure: SqlFailure): void;
}

const ADMINISTRATOR_COMMAND = new SqlFailure(
  "57P01",
  "terminating connection due to administrator command",
);

/** State and orders of one instance. */
export class DatabaseInstance {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly log: Log;
  readonly database: Database;
  readonly sessions = new Set<SessionHandle>();
  /** Time from the arrival of an entry until it counts as received, in ms. */
  receiveLag: number;
  readonly #replay: Replay;
  #role: Role = "fenced";
  readonly #seenTerm: SeenTerm;
  #follower: Follower | undefined;
  #synchronized = false;

  private constructor(
    settings: Settings,
    logger: Logger,
    log: Log,
    database: Database,
  ) {
    this.settings = settings;
    this.logger = logger;
    this.log = log;
    this.database = database;
    this.#seenTerm = new SeenTerm(settings.term, settings.stateFile);
    this.receiveLag = settings.receiveLag;
    this.#replay = new Replay(log, database, settings.applyLag);
  }

  /** Starts the engine and takes the role of the settings. */
  static async create(
    settings: Settings,
    logger: Logger,
    initSql: string,
  ): Promise<DatabaseInstance> {
    const log = new Log();
    const database = await Database.create(log, initSql);
    const instance = new DatabaseInstance(settings, logger, log, database);
    instance.#replay.run().catch((error) => instance.crash(error));
    return instance;
  }

  get role(): Role {
    return this.#role;
  }

  get seenTerm(): number {
    return this.#seenTerm.value;
  }

  /** Whether this process was primary or has caught up with a source since its start. */
  get synchronized(): boolean {
    return this.#synchronized;
  }

  /** Starts the term of the settings on an empty log. */
  startAsPrimary(): void {
    this.#startTerm();
  }

  /** Follows a source, or waits for an order. */
  startAsReplica(source: Source | undefined): void {
    this.#role = "replica";
    if (source) this.#startFollower(source);
  }

  status(): InstanceStatus {
    const follower = this.#role === "replica" ? this.#follower : undefined;
    return {
      ...this.log.history,
      role: this.#role,
      seenTerm: this.seenTerm,
      received: this.log.end,
      applied: this.database.applied,
      source: follower?.source.name,
      hearsSource: follower?.hearsSource ?? false,
    };
  }

  /** Term and end of the log that is visible here. */
  position(): Position {
    const { applied } = this.database;
    const starts = this.log.history.termStarts;
    const visible = starts.findLast((start) => start.lsn < applied);
    return { term: visible?.term ?? 0, lsn: applied };
  }

  /** Sets the two parts of the lag, in ms. */
  setLag(receive: number, apply: number): void {
    this.receiveLag = receive;
    this.#replay.lag = apply;
  }

  /** Takes no entries and no commits of lower terms from now on. */
  fence(term: number): InstanceStatus {
    if (!this.#synchronized) {
      throw new SqlFailure(
        "57P03",
        "this instance holds no copy of the log yet",
      );
    }
    if (term <= this.seenTerm) {
      throw refusal(`term ${term} is not above ${this.seenTerm}`);
    }
    this.#leaveRole("fenced", term);
    this.logger.info({ term, received: String(this.log.end) }, "fenced");
    return this.status();
  }

  /** Becomes the primary of the term that the instance is fenced at. */
  async promote(term: number): Promise<InstanceStatus> {
    const fenced = () => this.#role === "fenced" && this.seenTerm === term;
    if (fenced() && this.database.applied < this.log.end) {
      this.#terminate((member) => member.inTransaction);
    }
    await this.#replay.finish(fenced);
    if (this.#role === "primary" && this.seenTerm === term) {
      return this.status();
    }
    if (!fenced()) {
      const state = `${this.#role} at term ${this.seenTerm}`;
      throw refusal(`this instance is ${state}, not fenced at ${term}`);
    }
    this.#startTerm();
    this.logger.info({ term, end: String(this.log.end) }, "promoted");
    return this.status();
  }

  /** Follows the primary of a term. */
  follow(source: Source, term: number): InstanceStatus {
    if (term < this.seenTerm) {
      throw refusal(`term ${term} is below ${this.seenTerm}`);
    }
    if (this.#role === "primary" && term === this.seenTerm) {
      throw refusal(`this instance is the primary of term ${term}`);
    }
    if (this.#follows(source) && term === this.seenTerm) return this.status();
    this.#leaveRole("replica", term);
    this.#startFollower(source);
    this.logger.info({ term, source: source.name }, "following");
    return this.status();
  }

  /** Takes an entry of the source. */
  receive(term: number, body: string): void {
    if (this.#role !== "replica") return;
    this.#seenTerm.raise(term);
    this.log.append(term, body);
  }

  /** Drops what the source's log does not contain. */
  async reconcile(history: LogHistory, end: bigint): Promise<void> {
    const own = this.log.end;
    const common = commonPosition(this.log.history, own, history, end);
    if (common === own) return;
    const discarded = { from: String(common), to: String(own) };
    const terms = { term: this.log.history.lastTerm, by: history.lastTerm };
    this.logger.warn({ ...discarded, ...terms }, "discarded a tail of the log");
    this.log.truncate(common);
    if (this.database.applied <= common) return;
    this.#terminate((member) => !member.control);
    await this.database.rebuild();
  }

  /** Says that everything that the source held at first contact is applied. */
  setSynchronized(): void {
    this.#synchronized = true;
  }

  /** Ends all connections and the replication. */
  stop(): void {
    this.#stopFollower();
    this.#replay.stop();
    this.#terminate(() => true);
  }

  /** Ends the process after a failure that leaves the database in doubt. */
  crash(error: unknown): void {
    this.logger.fatal({ error: String(error) }, "crashed");
    console.error(error);
    process.exit(1);
  }

  #startTerm(): void {
    this.#role = "primary";
    this.#synchronized = true;
    this.database.startTerm(this.seenTerm);
  }

  #leaveRole(role: Role, term: number): void {
    this.#stopFollower();
    this.#role = role;
    this.#seenTerm.raise(term);
    this.#terminate((member) => member.inTransaction);
    this.database.setReadOnly(true);
    this.log.wake();
  }

  #terminate(condition: (member: SessionHandle) => boolean): void {
    for (const member of [...this.sessions]) {
      if (condition(member)) member.terminate(ADMINISTRATOR_COMMAND);
    }
  }

  #follows(source: Source): boolean {
    const own = this.#role === "replica" ? this.#follower?.source : undefined;
    return own?.name === source.name && own.host === source.host &&
      own.port === source.port;
  }

  #startFollower(source: Source): void {
    this.#stopFollower();
    this.#follower = new Follower(this, source);
    this.#follower.run().catch((error) => this.crash(error));
  }

  #stopFollower(): void {
    this.#follower?.stop();
    this.#follower = undefined;
  }
}

function refusal(message: string): SqlFailure {
  return new SqlFailure("55000", message);
}
