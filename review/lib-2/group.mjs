/**
 * Stand-in of one database group of three instances on the line protocol of
 * PROTOCOL.md. Each instance has a log of its own; replicas receive a commit
 * after `receiveMs` and show it `lagMs` later.
 */
import { createServer } from "node:net";

/** The site's heartbeat, and the delays of a small deployment. */
const HEARTBEAT_MS = 1_200;
/** An entry is removed after three intervals of silence. */
const LAPSE_MS = 3 * HEARTBEAT_MS;
const RECEIVE_MS = 12;
const LAG_MS = 60;
const PROMOTE_MS = 1_000;
const WORK_MS = 6;
const OPEN_MS = 12;
const CONNECTIONS = 22;
/** How long an old primary goes on once it can reach the new one, unless it is told to step down. */
const OLD_PRIMARY_MS = 1_000;

const AFTER = /^AFTER (\d+)\.(\d+) /;

const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** One instance: its log, role and connections. */
class Instance {
  role = "replica";
  term = 1;
  /** Received commits; `applied` of them are shown to reads. */
  log = [];
  applied = 0;
  heldTerm = 0;
  isDeaf = false;
  isLeaving = false;
  isUp = true;
  sockets = new Set();

  constructor(group, id, zone) {
    Object.assign(this, { group, id, zone });
  }

  position(count = this.log.length) {
    return `${this.term}.${count}`;
  }

  /** Whether the log that reads see has a position. */
  shows(term, number) {
    if (this.term > term) return true;
    return this.term === term && this.applied >= number;
  }

  status() {
    const { role, term, heldTerm, sockets } = this;
    return `${role} ${term} ${this.position()} ${heldTerm} 0 0 ${sockets.size}`;
  }

  value(item) {
    const shown = this.log.slice(0, this.applied);
    const entry = shown.findLast(({ writes }) =>
      writes.some((write) => write.item === item)
    );
    return entry?.writes.findLast((write) => write.item === item).data ?? "-";
  }
}

export class Group {
  instances = [];
  /** Statements of clients that reached an instance, with the time in ms. */
  ran = [];
  /** When each promotion took effect: instance, term and time in ms. */
  promoted = [];

  /** `onEvent` is called with what the record should hold. */
  constructor({ name, ip, zones, store, syncReplicas, onEvent }) {
    Object.assign(this, { name, ip, store, syncReplicas, onEvent });
    this.instances = zones.map((zone, index) =>
      new Instance(this, `i-${name}-${index}`, zone)
    );
    this.instances[0].role = "primary";
  }

  async start() {
    for (const instance of this.instances) await this.#open(instance);
    this.timers = this.instances.map((instance) => {
      this.#beat(instance);
      return setInterval(() => this.#beat(instance), HEARTBEAT_MS);
    });
  }

  get(id) {
    return this.instances.find((instance) => instance.id === id);
  }

  /** Planned work: the instance reports that it drains. */
  drain(id) {
    this.get(id).isLeaving = true;
    this.#beat(this.get(id));
  }

  /** The instance's process ends; its port refuses connections. */
  crash(id) {
    const instance = this.get(id);
    instance.isUp = false;
    instance.server.close();
    for (const socket of instance.sockets) socket.resetAndDestroy();
  }

  /** Replaces the primary; resolves to the status of the call. */
  async promote(id) {
    const instance = this.get(id);
    if (!instance?.isUp) return 409;
    if (instance.role === "primary") return 200;
    await delay(PROMOTE_MS);
    const olds = this.instances.filter(({ role }) => role === "primary");
    instance.role = "primary";
    instance.term = 1 + Math.max(...this.instances.map(({ term }) => term));
    instance.heldTerm = 0;
    instance.applied = instance.log.length;
    this.promoted.push({ id, term: instance.term, at: performance.now() });
    this.onEvent("promoted", {
      id,
      term: instance.term,
      commits: instance.log.length,
    });
    for (const old of olds) {
      setTimeout(() => this.#follow(old, instance), OLD_PRIMARY_MS);
    }
    for (const other of this.instances) {
      if (other.role === "replica") this.#copyLog(instance, other);
    }
    this.#beat(instance);
    return 200;
  }

  #follow(old, primary) {
    if (!old.isUp || old.term >= primary.term) return;
    old.role = "replica";
    this.#copyLog(primary, old);
    this.#beat(old);
  }

  /** A replica takes over the primary's log; what it was ahead is rolled back. */
  #copyLog(primary, replica) {
    if (replica.isDeaf || replica.heldTerm > primary.term) return;
    replica.term = primary.term;
    replica.log = [...primary.log];
    replica.applied = replica.log.length;
  }

  /** Commits at a primary; resolves once it may be acknowledged: with `syncReplicas`, when a replica has received it. */
  commit(primary, writes) {
    const entry = { term: primary.term, writes, at: performance.now() };
    primary.log.push(entry);
    primary.applied = primary.log.length;
    return new Promise((resolve) => {
      if (this.syncReplicas === 0) resolve();
      for (const replica of this.instances) {
        if (replica === primary || replica.role === "primary") continue;
        setTimeout(() => {
          this.#receive(primary, replica);
          if (replica.log.includes(entry)) resolve();
        }, RECEIVE_MS);
      }
    });
  }

  #receive(primary, replica) {
    if (primary.role !== "primary" || replica.role !== "replica") return;
    if (!primary.isUp || !replica.isUp || replica.isDeaf) return;
    if (replica.term > primary.term || replica.heldTerm > primary.term) return;
    replica.term = primary.term;
    replica.log = [...primary.log];
    const count = replica.log.length;
    setTimeout(() => {
      replica.applied = Math.min(
        Math.max(replica.applied, count),
        replica.log.length,
      );
    }, LAG_MS);
  }

  #beat(instance) {
    if (!instance.isUp) return;
    instance.sequence = (instance.sequence ?? 0) + 1;
    const value = {
      service: this.name,
      address: `${this.ip}:${instance.port}`,
      zone: instance.zone,
      version: "v1",
      capacity: 3,
      state: instance.isLeaving ? "draining" : "ready",
      coldRemainingMs: 0,
      dbRole: instance.role,
      born: 1_760_000_000_000,
      sequence: instance.sequence,
    };
    this.store.putForeign("servers", instance.id, value);
    clearTimeout(instance.lapse);
    instance.lapse = setTimeout(
      () => this.store.removeForeign("servers", instance.id),
      LAPSE_MS,
    );
  }

  #open(instance) {
    instance.server = createServer((socket) => {
      instance.sockets.add(socket);
      socket.on("close", () => instance.sockets.delete(socket));
      new Connection(this, instance, socket);
    });
    return new Promise((resolve) => {
      instance.server.listen(0, this.ip, () => {
        instance.port = instance.server.address().port;
        resolve();
      });
    });
  }
}

/** One connection to an instance; statements run one after the other. */
class Connection {
  #values = new Map();
  #prepared = new Map();
  #state = "I";
  #isPlain = false;
  #writes = [];
  #isStarted = false;
  #tail = "";
  #queue = Promise.resolve();

  constructor(group, instance, socket) {
    Object.assign(this, { group, instance, socket });
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      const lines = (this.#tail + chunk.toString("latin1")).split("\r\n");
      this.#tail = lines.pop();
      for (const line of lines) {
        this.#queue = this.#queue.then(() => this.#take(line));
      }
    });
  }

  #send(text) {
    if (this.socket.writable) this.socket.write(text, "latin1");
  }

  async #take(line) {
    const [word, id = "-", ...rest] = line.split(" ");
    if (word === "TERMINATE") return this.socket.end();
    if (!this.#isStarted) return await this.#start(word, id, rest[1]);
    if (id !== "-") {
      const { id: instance } = this.instance;
      this.group.ran.push({ id, instance, at: performance.now() });
      await delay(WORK_MS);
    }
    if (!this.instance.isUp || this.socket.destroyed) return;
    const [error, row, committed] = this.#run(id, rest.join(" "));
    await committed;
    const rows = row === undefined ? "" : `DATAROW ${row}\r\n`;
    const signature = id === "-" ? "-" : `${this.instance.id}.${id}`;
    const end = error
      ? `ERROR ${error} ${this.instance.id}\r\n`
      : `${rows}COMPLETE ${signature}\r\n`;
    const position = this.instance.position(this.instance.applied);
    this.#send(`${end}READY ${this.#state} ${position}\r\n`);
  }

  async #start(word, service, expected) {
    await delay(OPEN_MS);
    const { id, sockets } = this.instance;
    const isWrong = word !== "STARTUP" || service !== this.group.name ||
      (expected !== undefined && expected !== id);
    if (isWrong) return this.socket.end("ERROR MISROUTED no\r\n");
    if (sockets.size > CONNECTIONS) {
      return this.socket.end("ERROR TOOMANY no\r\n");
    }
    this.#isStarted = true;
    this.#send(`READY I ${this.instance.position(this.instance.applied)}\r\n`);
  }

  /** Runs a statement; the error word or the row of a success, and the promise of a commit. */
  #run(id, given) {
    const { instance } = this;
    const after = AFTER.exec(given);
    const text = after ? given.slice(after[0].length) : given;
    if (after && !instance.shows(Number(after[1]), Number(after[2]))) {
      return ["LAGGING"];
    }
    const [word, first = "", ...rest] = text.split(" ");
    const others = rest.join(" ");
    if (this.#state === "E" && word !== "ROLLBACK" && word !== "COMMIT") {
      return ["MALFORMED"];
    }
    switch (word) {
      case "STATUS":
        return [undefined, instance.status()];
      case "PAUSE":
        if (Number(first) > instance.term) instance.heldTerm = Number(first);
        return [undefined, instance.status()];
      case "RESUME":
        instance.heldTerm = 0;
        return [undefined, instance.status()];
      case "STEPDOWN":
        if (instance.role === "primary" && instance.term < Number(first)) {
          instance.role = "replica";
          this.group.onEvent("stepped down", { id: instance.id });
        }
        return [undefined, instance.status()];
      case "DISCARD":
        this.#values.clear();
        this.#prepared.clear();
        return [];
      case "SET":
        this.#values.set(first, others);
        return [];
      case "PREPARE":
        this.#prepared.set(first, rest[0]);
        return [];
      case "DEALLOCATE":
        this.#prepared.delete(first);
        return [];
      case "BEGIN":
        this.#isPlain = first !== "READ";
        if (this.#isPlain && instance.role !== "primary") return ["READONLY"];
        this.#state = "T";
        return [];
      case "ROLLBACK":
        this.#end();
        return [];
      case "COMMIT":
        return this.#commit();
      case "READ":
        return this.#read(first);
      case "WRITE":
        return this.#write({ id, item: first, data: others });
      case "EXECUTE":
        if (!this.#prepared.has(first)) return this.#fail("NOSTMT");
        return this.#prepared.get(first) === "READ"
          ? this.#read(rest[0])
          : this.#write({ id, item: rest[0], data: rest.slice(1).join(" ") });
    }
    return this.#fail("MALFORMED");
  }

  get #hasLostLead() {
    return this.#state === "T" && this.#isPlain &&
      this.instance.role !== "primary";
  }

  #read(item) {
    if (this.#hasLostLead) return this.#fail("READONLY");
    return [undefined, this.instance.value(item)];
  }

  #write(write) {
    if (this.instance.role !== "primary") return this.#fail("READONLY");
    if (this.#state === "T") this.#writes.push(write);
    else return this.#commitNow([write]);
    return [];
  }

  #commit() {
    const writes = this.#writes;
    const isFailed = this.#state === "E" ||
      (writes.length > 0 && this.#hasLostLead);
    this.#end();
    if (isFailed) return ["READONLY"];
    return writes.length > 0 ? this.#commitNow(writes) : [];
  }

  #commitNow(writes) {
    return [undefined, undefined, this.group.commit(this.instance, writes)];
  }

  #fail(error) {
    if (this.#state === "T") this.#state = "E";
    return [error];
  }

  #end() {
    this.#state = "I";
    this.#writes = [];
  }
}
