/**
 * The instances of one group on the line wire, in one process: log, terms,
 * replication with a lag, promotion.
 *
 * @module
 */

/** One commit. */
export interface Entry {
  readonly term: number;
  readonly number: number;
  readonly writes: readonly Write[];
}

/** One write. */
export interface Write {
  readonly id: string;
  readonly item: string;
  readonly data: string;
}

/** A prepared statement that was executed, with all that followed its name. */
export interface Execution {
  readonly id: string;
  readonly effect: string;
  readonly shape: string;
  readonly given: string;
}

/** Number of executions that an instance tells of. */
const EXECUTIONS_KEPT = 200;

/** A caller's statement that an instance ran. */
export interface Run {
  readonly id: string;
  /** First word of the statement. */
  readonly word: string;
  /** Account that its connection was opened for. */
  readonly account: string;
}

/** Number of statements that an instance tells of. */
const RUNS_KEPT = 5_000;

/** How long an old primary goes on once the new one reaches it, in ms; as the platform documents it. */
const STEP_DOWN_DELAY_MS = 1_000;

/** Interval at which a new primary tries to reach the old one, in ms. */
const REACH_INTERVAL_MS = 100;

/** How an instance can be reached. */
export type Reach = "up" | "dead" | "dark";

/** State of one instance. */
export class Member {
  readonly id: string;
  role: "primary" | "replica" = "replica";
  term = 1;
  /** What it has received. */
  log: Entry[] = [];
  /** Most statements that were prepared on one connection at a time. */
  mostPrepared = 0;
  /** Statements under names that their connections did not have. */
  unknownStatements = 0;
  /** The latest statements of callers. */
  readonly ran: Run[] = [];
  /** Open connections by account. */
  readonly connections: Record<string, number> = {};
  /** Connections that were opened, and those that were refused since there were too many. */
  opened = 0;
  refused = 0;
  /** Most connections that were open at a time. */
  mostOpen = 0;
  /** Time by which its answers to callers come later, in ms; it answers the proxies themselves at once. */
  delay = 0;
  /** The latest executions. */
  readonly executed: Execution[] = [];
  /** Entries of the log that its data show. */
  applied = 0;
  pausedAt = 0;
  reach: Reach = "up";
  /** It receives nothing, though it serves. */
  deaf = false;
  leaving = false;

  constructor(id: string) {
    this.id = id;
  }

  /** Records a connection of an account; returns a function that records its end, or undefined if there are too many. */
  connect(account: string, limit: number): (() => void) | undefined {
    const open = Object.values(this.connections)
      .reduce((total, count) => total + count, 0);
    if (open >= limit) {
      this.refused += 1;
      return undefined;
    }
    this.opened += 1;
    this.mostOpen = Math.max(this.mostOpen, open + 1);
    this.connections[account] = (this.connections[account] ?? 0) + 1;
    return () => {
      this.connections[account]! -= 1;
    };
  }

  /** Records a caller's statement and forgets the oldest beyond a limit. */
  recordRun(run: Run): void {
    this.ran.push(run);
    if (this.ran.length > RUNS_KEPT) this.ran.shift();
  }

  /** Records the number of statements that are prepared on a connection. */
  recordPrepared(count: number): void {
    this.mostPrepared = Math.max(this.mostPrepared, count);
  }

  /** Records an execution and forgets the oldest beyond a limit. */
  recordExecution(execution: Execution): void {
    this.executed.push(execution);
    if (this.executed.length > EXECUTIONS_KEPT) this.executed.shift();
  }

  /** The value of an item in the data. */
  read(item: string): string {
    for (let index = this.applied - 1; index >= 0; index -= 1) {
      const write = this.log[index]!.writes.findLast((one) =>
        one.item === item
      );
      if (write) return write.data;
    }
    return "-";
  }

  /** Whether the data show a position. */
  shows(term: number, number: number): boolean {
    const last = this.log[this.applied - 1];
    if (!last) return number === 0;
    return last.term > term || (last.term === term && last.number >= number);
  }

  /** Position of the last entry of a part of the log. */
  position(count: number): string {
    const last = this.log[count - 1];
    return last ? `${last.term}.${last.number}` : `${this.term}.0`;
  }
}

/** The group. */
export class Group {
  readonly members: readonly Member[];
  readonly #lag: number;
  readonly #promoteTime: number;

  /** `lag` and `promoteTime` are in ms. */
  constructor(ids: readonly string[], lag: number, promoteTime: number) {
    this.members = ids.map((id) => new Member(id));
    this.members[0]!.role = "primary";
    this.#lag = lag;
    this.#promoteTime = promoteTime;
  }

  member(id: string): Member | undefined {
    return this.members.find((member) => member.id === id);
  }

  /** Commits at a primary and replicates. */
  commit(primary: Member, writes: readonly Write[]): void {
    const number = (primary.log.at(-1)?.number ?? 0) + 1;
    const entry = { term: primary.term, number, writes };
    primary.log.push(entry);
    primary.applied = primary.log.length;
    for (const member of this.members) this.#replicate(primary, member);
  }

  /** Makes an instance the primary of the next term, with what it has received. */
  async promote(member: Member): Promise<boolean> {
    if (member.reach !== "up") return false;
    if (member.role === "primary") return true;
    await new Promise((resolve) => setTimeout(resolve, this.#promoteTime));
    const term = Math.max(...this.members.map((one) => one.term)) + 1;
    const olds = this.members.filter((one) => one.role === "primary");
    member.role = "primary";
    member.term = term;
    member.pausedAt = 0;
    member.applied = member.log.length;
    for (const old of olds) this.#follow(old, member);
    for (const other of this.members) {
      if (other.role === "replica") this.#replicate(member, other);
    }
    return true;
  }

  /** An old primary becomes a replica a while after it can be reached by the new one. */
  #follow(old: Member, primary: Member): void {
    let reachedAt = Infinity;
    const timer = setInterval(() => {
      const now = performance.now();
      reachedAt = old.reach === "up" ? Math.min(reachedAt, now) : Infinity;
      if (now - reachedAt < STEP_DOWN_DELAY_MS) return;
      clearInterval(timer);
      if (old.term >= primary.term) return;
      old.role = "replica";
      this.#replicate(primary, old);
    }, REACH_INTERVAL_MS);
  }

  #replicate(primary: Member, member: Member): void {
    if (member === primary || member.role === "primary") return;
    if (member.deaf || member.pausedAt > primary.term) return;
    if (member.reach !== "up" || primary.reach !== "up") return;
    member.term = primary.term;
    member.log = [...primary.log];
    member.applied = Math.min(member.applied, member.log.length);
    const count = member.log.length;
    setTimeout(() => {
      member.applied = Math.max(
        member.applied,
        Math.min(count, member.log.length),
      );
    }, this.#lag);
  }
}
