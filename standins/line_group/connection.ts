/**
 * One connection to an instance of the group on the line wire.
 *
 * @module
 */
import type { Socket } from "node:net";
import { readCrlfLines } from "../common/crlf_lines.ts";
import type { Group, Member, Write } from "./group.ts";

type State = "I" | "T" | "E";

/** Maximum length of a message, in bytes. */
const MESSAGE_MAX_BYTES = 1024 * 1024;

/** The position that a statement requires. */
const AFTER = /^AFTER (\d+)\.(\d+) /;

/** A prepared statement; a shape is the last field of its line, so it may contain spaces. */
interface Prepared {
  readonly effect: string;
  readonly shape: string;
}

/** Answers the statements of one connection. */
export class Connection {
  readonly #group: Group;
  readonly #member: Member;
  readonly #name: string;
  readonly #workTime: number;
  readonly #maxConnections: number;
  readonly #socket: Socket;
  readonly #values = new Map<string, string>();
  readonly #prepared = new Map<string, Prepared>();
  /** Account that the connection was opened for; undefined before its startup. */
  #account: string | undefined;
  #state: State = "I";
  #plain = false;
  #writes: Write[] = [];
  #signed = 0;
  /** Answers that are not sent yet, and the time in ms at which the last of them is. */
  readonly #waiting: string[] = [];
  #answersAt = 0;

  constructor(
    group: Group,
    member: Member,
    socket: Socket,
    options: {
      readonly name: string;
      readonly workTime: number;
      readonly maxConnections: number;
    },
  ) {
    this.#group = group;
    this.#member = member;
    this.#name = options.name;
    this.#workTime = options.workTime;
    this.#maxConnections = options.maxConnections;
    this.#socket = socket;
    socket.on("error", () => {});
    socket.setNoDelay(true);
    readCrlfLines(socket, (line) => this.#take(line));
  }

  #take(line: string): void {
    if (this.#member.reach === "dark") return;
    if (line.length > MESSAGE_MAX_BYTES) return void this.#socket.destroy();
    const [word, id = "-", ...rest] = line.split(" ");
    if (word === "TERMINATE") return void this.#socket.end();
    if (this.#account === undefined) return this.#startup(word!, id, rest);
    const text = rest.join(" ");
    const [error, row] = this.#run(id, text);
    if (!error && id !== "-") this.#recordRun(id, text);
    const out = row === undefined ? "" : `DATAROW ${row}\r\n`;
    const end = error
      ? `ERROR ${error} ${this.#member.id}\r\n`
      : `${out}COMPLETE ${this.#sign(id)}\r\n`;
    const position = this.#member.position(this.#member.applied);
    const delay = id === "-" ? 0 : this.#member.delay;
    this.#answer(`${end}READY ${this.#state} ${position}\r\n`, delay);
  }

  /** Sends an answer after the time that the group's work takes, and a delay in ms; not before the former ones. */
  #answer(answer: string, delay: number): void {
    const now = performance.now();
    const time = this.#workTime + delay;
    this.#answersAt = Math.max(this.#answersAt, now + time);
    if (this.#answersAt <= now) return this.#send(answer);
    this.#waiting.push(answer);
    setTimeout(() => this.#send(this.#waiting.shift()!), this.#answersAt - now);
  }

  /** The lines were read as latin1, so each byte that a caller sent comes back as it was. */
  #send(answer: string): void {
    this.#socket.write(answer, "latin1");
  }

  #startup(
    word: string,
    name: string,
    [account = "", expected]: readonly string[],
  ): void {
    const wrong = word !== "STARTUP" || name !== this.#name ||
      (expected !== undefined && expected !== this.#member.id);
    if (wrong) return void this.#socket.end("ERROR MISROUTED no\r\n");
    const leave = this.#member.connect(account, this.#maxConnections);
    if (!leave) return void this.#socket.end("ERROR TOOMANY no\r\n");
    this.#socket.once("close", leave);
    this.#account = account;
    this.#socket.write(`READY I ${this.#member.position(0)}\r\n`);
  }

  #recordRun(id: string, given: string): void {
    const [word = ""] = given.replace(AFTER, "").split(" ", 1);
    this.#member.recordRun({ id, word, account: this.#account! });
  }

  #sign(id: string): string {
    this.#signed += 1;
    return id === "-" ? "-" : `${this.#member.id}.${this.#signed}`;
  }

  /** The error word, and the row of a success. */
  #run(id: string, given: string): readonly [string?, string?] {
    const after = AFTER.exec(given);
    const text = after ? given.slice(after[0].length) : given;
    if (after && !this.#member.shows(Number(after[1]), Number(after[2]))) {
      return ["LAGGING"];
    }
    const [word, first = "", ...rest] = text.split(" ");
    // The last field extends to the end of the line.
    const argument = [first, ...rest].join(" ");
    switch (word) {
      case "STATUS":
        return [undefined, this.#status()];
      case "PAUSE":
        this.#member.pausedAt = Number(first);
        return [undefined, this.#status()];
      case "RESUME":
        this.#member.pausedAt = 0;
        return [undefined, this.#status()];
      case "STEPDOWN":
        if (this.#member.term < Number(first)) this.#member.role = "replica";
        return [undefined, this.#status()];
      case "SET":
        this.#values.set(first, rest.join(" "));
        return [];
      case "DISCARD":
        this.#values.clear();
        this.#prepared.clear();
        return [];
      case "PREPARE":
        return this.#prepare(first, rest);
      case "DEALLOCATE":
        if (this.#prepared.delete(argument)) return [];
        return this.#fail("NOSTMT");
      case "BEGIN":
        this.#plain = first !== "READ";
        if (this.#plain && this.#member.role !== "primary") return ["READONLY"];
        this.#state = "T";
        return [];
      case "ROLLBACK":
        this.#end();
        return [];
      case "COMMIT":
        return this.#commit();
      case "EXECUTE":
        return this.#execute(id, first, rest);
      case "READ":
        return this.#read(argument);
      case "WRITE":
        return this.#write({ id, item: first, data: rest.join(" ") });
    }
    return this.#fail("MALFORMED");
  }

  #prepare(
    name: string,
    [effect, ...shape]: readonly string[],
  ): readonly [string?] {
    if (effect !== "READ" && effect !== "WRITE") return ["MALFORMED"];
    if (shape.length === 0) return ["MALFORMED"];
    this.#prepared.set(name, { effect, shape: shape.join(" ") });
    this.#member.recordPrepared(this.#prepared.size);
    return [];
  }

  #execute(
    id: string,
    name: string,
    given: readonly string[],
  ): readonly [string?, string?] {
    const prepared = this.#prepared.get(name);
    if (!prepared) return this.#fail("NOSTMT");
    const [item = "", ...data] = given;
    this.#member.recordExecution({ id, ...prepared, given: given.join(" ") });
    if (prepared.effect === "READ") return this.#read(given.join(" "));
    return this.#write({ id, item, data: data.join(" ") });
  }

  /** Besides the item's data, a row shows the values of the connection, so that a caller can see whose they are. */
  #read(item: string): readonly [string?, string?] {
    if (this.#lostLead()) return this.#fail("READONLY");
    const own = this.#writes.findLast((write) => write.item === item)?.data;
    const values = [...this.#values].sort().map((pair) => pair.join("="));
    return [
      undefined,
      [own ?? this.#member.read(item), ...values].join(" "),
    ];
  }

  #write(write: Write): readonly [string?, string?] {
    if (this.#member.role !== "primary") return this.#fail("READONLY");
    if (this.#state === "T") this.#writes.push(write);
    else this.#group.commit(this.#member, [write]);
    return [];
  }

  #commit(): readonly [string?, string?] {
    const writes = this.#writes;
    const lost = writes.length > 0 && this.#lostLead();
    this.#end();
    if (lost) return ["READONLY"];
    if (writes.length > 0) this.#group.commit(this.#member, writes);
    return [];
  }

  #lostLead(): boolean {
    return this.#state === "T" && this.#plain &&
      this.#member.role !== "primary";
  }

  #fail(error: string): readonly [string] {
    if (error === "NOSTMT") this.#member.unknownStatements += 1;
    if (this.#state === "T") this.#state = "E";
    return [error];
  }

  #end(): void {
    this.#state = "I";
    this.#writes = [];
  }

  #status(): string {
    const { role, term, log, pausedAt } = this.#member;
    return `${role} ${term} ${
      this.#member.position(log.length)
    } ${pausedAt} 0 0 1`;
  }
}
