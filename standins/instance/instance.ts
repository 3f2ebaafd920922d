/**
 * Instance of a database group: its role, the highest term it has seen, and the
 * control operations fence, promote and follow.
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

/** Session that the instance can terminate. */
export interface SessionHandle {
  /** Whether the session is a control connection, which a rebuild does not terminate. */
  readonly control: boolean;
  /** Whether the session has an open transaction. */
  readonly inTransaction: boolean;
  /** Closes the connection and rolls back its transaction. */
  terminate(failure: SqlFailure): void;
}

const ADMINISTRATOR_COMMAND = new SqlFailure(
  "57P01",
  "terminating connection due to administrator command",
);

/** State and control operations of one instance. */
export class DatabaseInstance {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly log: Log;
  readonly database: Database;
  readonly sessions = new Set<SessionHandle>();
  /** Delay in ms between the arrival of an entry and its receipt into the log. */
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

  /**
   * Starts the engine and the replay; the instance stays fenced until
   * `startAsPrimary` or `startAsReplica` is called.
   */
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

  /** Highest term that the instance has seen. */
  get seenTerm(): number {
    return this.#seenTerm.value;
  }

  /** Whether the instance has been primary or has caught up with a source since the process started. */
  get synchronized(): boolean {
    return this.#synchronized;
  }

  /** Starts the term of the settings as its primary, on an empty log. */
  startAsPrimary(): void {
    this.#startTerm();
  }

  /** Becomes a replica that follows the source; without one, waits for a follow request. */
  startAsReplica(source: Source | undefined): void {
    this.#role = "replica";
    if (source) this.#startFollower(source);
  }

  /** Reply to a status request. */
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

  /** Position up to which the log is applied, and so visible to reads. */
  position(): Position {
    const { applied } = this.database;
    const starts = this.log.history.termStarts;
    const current = starts.findLast((start) => start.lsn < applied);
    return { term: current?.term ?? 0, lsn: applied };
  }

  /** Sets the receive lag and the apply lag, in ms. */
  setLag(receive: number, apply: number): void {
    this.receiveLag = receive;
    this.#replay.lag = apply;
  }

  /** Fences the instance at a term: from now on it accepts no entries and no commits of lower terms. */
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
    this.#changeRole("fenced", term);
    this.logger.info({ term, received: String(this.log.end) }, "fenced");
    return this.status();
  }

  /** Promotes the instance to primary of the term at which it is fenced, after all received entries are applied. */
  async promote(term: number): Promise<InstanceStatus> {
    const fenced = () => this.#role === "fenced" && this.seenTerm === term;
    if (fenced() && this.database.applied < this.log.end) {
      this.#terminateSessions((session) => session.inTransaction);
    }
    await this.#replay.catchUp(fenced);
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

  /** Makes the instance a replica that follows the primary of a term. */
  follow(source: Source, term: number): InstanceStatus {
    if (term < this.seenTerm) {
      throw refusal(`term ${term} is below ${this.seenTerm}`);
    }
    if (this.#role === "primary" && term === this.seenTerm) {
      throw refusal(`this instance is the primary of term ${term}`);
    }
    if (this.#follows(source) && term === this.seenTerm) return this.status();
    this.#changeRole("replica", term);
    this.#startFollower(source);
    this.logger.info({ term, source: source.name }, "following");
    return this.status();
  }

  /** Appends an entry received from the source; ignored unless the instance is a replica. */
  receive(term: number, body: string): void {
    if (this.#role !== "replica") return;
    this.#seenTerm.raise(term);
    this.log.append(term, body);
  }

  /**
   * Truncates the log to the part that the source's log, which ends at `end`, also
   * contains; rebuilds the database if a discarded entry was already applied.
   */
  async reconcile(history: LogHistory, end: bigint): Promise<void> {
    const own = this.log.end;
    const common = commonPosition(this.log.history, own, history, end);
    if (common === own) return;
    const discarded = { from: String(common), to: String(own) };
    const terms = { term: this.log.history.lastTerm, by: history.lastTerm };
    this.logger.warn(
      { ...discarded, ...terms },
      "discarded the diverged tail of the log",
    );
    this.log.truncate(common);
    if (this.database.applied <= common) return;
    this.#terminateSessions((session) => !session.control);
    await this.database.rebuild();
  }

  /** Records that the log that the source had when the stream began is applied. */
  setSynchronized(): void {
    this.#synchronized = true;
  }

  /** Stops replication and replay, and terminates all sessions. */
  stop(): void {
    this.#stopFollower();
    this.#replay.stop();
    this.#terminateSessions(() => true);
  }

  /** Exits the process after a failure that leaves the state of the database unknown. */
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

  #changeRole(role: Role, term: number): void {
    this.#stopFollower();
    this.#role = role;
    this.#seenTerm.raise(term);
    this.#terminateSessions((session) => session.inTransaction);
    this.database.setReadOnly(true);
    this.log.wake();
  }

  #terminateSessions(condition: (session: SessionHandle) => boolean): void {
    for (const session of [...this.sessions]) {
      if (condition(session)) session.terminate(ADMINISTRATOR_COMMAND);
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
