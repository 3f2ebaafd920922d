/**
 * Stand-in of one database service: a primary and its replicas on the line
 * protocol, as PROTOCOL.md describes them ("The wire", "Instances"). A line ends
 * with CR LF. Each instance has a door in front of it that can cut single
 * machines off, told apart by the word that their STARTUP carries.
 *
 * @module
 */
import { connect, createServer } from "node:net";

/** Slots of an instance, and time in ms until a replica has applied a commit; both from the site's sheet. */
const SLOTS = 3;
const LAG_MS = 60;

/** Time in ms that a promotion takes; from the site's sheet. */
const PROMOTE_MS = 1_000;

/** Time in ms after which a connection whose other end can't be reached is dropped. */
const UNREACHABLE_MS = 3_000;

const HEARTBEAT_MS = 1_200;
const ADDRESS = "127.0.0.1";
const CRLF = "\r\n";
const ENCODING = "latin1";

/** Calls `onLine` with each line of a socket that ends with CR LF. */
export function readLines(socket, onLine) {
  let rest = "";
  socket.setEncoding(ENCODING);
  socket.on("data", (chunk) => {
    rest += chunk;
    for (;;) {
      const end = rest.indexOf(CRLF);
      if (end < 0) return;
      const line = rest.slice(0, end);
      rest = rest.slice(end + CRLF.length);
      onLine(line);
    }
  });
}

function listen(server) {
  return new Promise((resolve) => {
    server.listen(0, ADDRESS, () => resolve(server.address().port));
  });
}

/** Passes bytes on to an instance; holds what comes from machines that are cut off, and what goes to them. */
class Door {
  port = 0;
  #target;
  #server;
  #pairs = new Set();
  #cut = new Set();

  constructor(target) {
    this.#target = target;
    this.#server = createServer(
      { allowHalfOpen: true },
      (near) => this.#open(near),
    );
  }

  async start() {
    this.port = await listen(this.#server);
  }

  stop() {
    this.#server.close();
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
  }

  /** Cuts off the machines of these names, or ends all cuts when it is empty. */
  setCut(names) {
    this.#cut = new Set(names);
    for (const pair of [...this.#pairs]) {
      if (this.#isCut(pair)) {
        pair.cutAt ??= performance.now();
        continue;
      }
      if (pair.cutAt === undefined) continue;
      if (performance.now() - pair.cutAt >= UNREACHABLE_MS) {
        pair.near.destroy();
        pair.far.destroy();
        continue;
      }
      pair.cutAt = undefined;
      for (const pass of pair.held.splice(0)) pass();
    }
  }

  #isCut({ name }) {
    return name !== undefined && this.#cut.has(name);
  }

  #open(near) {
    const far = connect({
      host: ADDRESS,
      port: this.#target,
      allowHalfOpen: true,
    });
    const pair = { near, far, name: undefined, held: [], cutAt: undefined };
    this.#pairs.add(pair);
    const pass = (send) => {
      if (!this.#isCut(pair)) return send();
      pair.cutAt ??= performance.now();
      pair.held.push(send);
    };
    near.on("data", (chunk) => {
      pair.name ??= chunk.toString(ENCODING).split(" ")[2];
      pass(() => far.write(chunk));
    });
    far.on("data", (chunk) => pass(() => near.write(chunk)));
    near.on("end", () => pass(() => far.end()));
    far.on("end", () => pass(() => near.end()));
    for (const [socket, other] of [[near, far], [far, near]]) {
      socket.setNoDelay(true);
      socket.on("error", () => pass(() => other.destroy()));
      socket.on("close", () => {
        if (near.destroyed && far.destroyed) this.#pairs.delete(pair);
      });
    }
  }
}

/** One instance. */
class Instance {
  role = "replica";
  term = 1;
  /** Commits that it has received, and those that its data show. */
  received = 0;
  applied = 0;
  pausedAt = 0;
  /** Door that the machines connect to. */
  door;
  #group;
  #server;
  #running = 0;
  #queue = [];
  #sockets = new Set();

  constructor(group, id, zone) {
    this.#group = group;
    this.id = id;
    this.zone = zone;
  }

  async start() {
    this.#server = createServer((socket) => this.#serve(socket));
    this.door = new Door(await listen(this.#server));
    await this.door.start();
  }

  stop() {
    this.door.stop();
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Waits for a slot and holds it for a time. */
  async #work(duration) {
    if (this.#running >= SLOTS) {
      await new Promise((resolve) => this.#queue.push(resolve));
    }
    this.#running += 1;
    await new Promise((resolve) => setTimeout(resolve, duration));
    this.#running -= 1;
    this.#queue.shift()?.();
  }

  #position(number) {
    return `${this.term}.${number}`;
  }

  #serve(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    const session = {
      started: false,
      machine: "",
      state: "I",
      plain: false,
      wrote: false,
      values: new Map(),
      prepared: new Map(),
    };
    let turn = Promise.resolve();
    readLines(socket, (line) => {
      // One statement of a connection after the other.
      turn = turn.then(() => this.#take(session, socket, line));
    });
  }

  async #take(session, socket, line) {
    if (!session.started) {
      const [word, service, machine, id] = line.split(" ");
      const wrong = word !== "STARTUP" || service !== this.#group.name ||
        (id !== undefined && id !== this.id);
      if (wrong) return void socket.end(`ERROR MISROUTED ${this.id}${CRLF}`);
      session.started = true;
      session.machine = machine;
      socket.write(`READY I ${this.#position(this.received)}${CRLF}`);
      return;
    }
    if (line === "TERMINATE") return void socket.end();
    const [, id = "-"] = line.split(" ", 2);
    const text = line.slice(`QUERY ${id} `.length);
    const { error, row, signature = "-" } = await this.#run(session, id, text);
    const rows = row === undefined ? "" : `DATAROW ${row}${CRLF}`;
    const end = error
      ? `ERROR ${error} ${this.id}${CRLF}`
      : `${rows}COMPLETE ${signature}${CRLF}`;
    const position = this.#position(this.applied);
    socket.write(`${end}READY ${session.state} ${position}${CRLF}`);
  }

  async #run(session, id, given) {
    const after = /^AFTER (\d+)\.(\d+) /.exec(given);
    const text = after ? given.slice(after[0].length) : given;
    if (after && this.applied < Number(after[2])) return { error: "LAGGING" };
    const [word, first = "", second = "", ...rest] = text.split(" ");
    switch (word) {
      case "STATUS":
        return { row: this.#status() };
      case "PAUSE":
        this.pausedAt = Number(first);
        return { row: this.#status() };
      case "RESUME":
        this.pausedAt = 0;
        return { row: this.#status() };
      case "STEPDOWN":
        if (this.term < Number(first)) this.role = "replica";
        return { row: this.#status() };
      case "SET":
        session.values.set(first, [second, ...rest].join(" "));
        return {};
      case "DISCARD":
        session.values.clear();
        session.prepared.clear();
        return {};
      case "PREPARE":
        session.prepared.set(first, second);
        return {};
      case "BEGIN":
        session.plain = first !== "READ";
        if (session.plain && this.role !== "primary") {
          return { error: "READONLY" };
        }
        session.state = "T";
        return {};
      case "ROLLBACK":
        session.state = "I";
        session.wrote = false;
        return {};
      case "COMMIT":
        return await this.#commit(session, id, text);
      case "EXECUTE":
      case "READ":
      case "WRITE":
        return await this.#statement(session, id, text);
    }
    return { error: "MALFORMED" };
  }

  async #statement(session, id, text) {
    const [word, name] = text.split(" ");
    const kind = word === "EXECUTE" ? session.prepared.get(name) : word;
    if (!kind) return { error: "NOSTMT" };
    const isWrite = kind === "WRITE";
    if (isWrite && this.role !== "primary") return { error: "READONLY" };
    this.#group.onRun({
      instance: this.id,
      id,
      text,
      machine: session.machine,
      values: new Map(session.values),
    });
    await this.#work(this.#group.workMs);
    if (isWrite && session.state === "T") session.wrote = true;
    else if (isWrite) this.#group.commit(this);
    const signature = `${this.id}.${id}`;
    return isWrite ? { signature } : { signature, row: `at ${this.applied}` };
  }

  async #commit(session, id, text) {
    const { wrote } = session;
    session.state = "I";
    session.wrote = false;
    if (wrote && this.role !== "primary") return { error: "READONLY" };
    this.#group.onRun({
      instance: this.id,
      id,
      text,
      machine: session.machine,
      values: new Map(session.values),
    });
    await this.#work(this.#group.workMs);
    if (wrote) this.#group.commit(this);
    return { signature: `${this.id}.${id}` };
  }

  #status() {
    const { role, term, received, pausedAt } = this;
    const position = this.#position(received);
    return `${role} ${term} ${position} ${pausedAt} 0 ${this.#running} 1`;
  }
}

/** The instances of one service, one in each zone. */
export class Group {
  instances;
  #platform;
  #timer;
  #sequence = 0;

  /** `workMs` is the time that a statement occupies a slot; `onRun` is called with each statement that runs. */
  constructor({ name, zones, workMs, onRun }) {
    this.name = name;
    this.workMs = workMs;
    this.onRun = onRun;
    this.instances = zones.map((zone, index) =>
      new Instance(this, `i-${name}-${index}`, zone)
    );
    this.instances[0].role = "primary";
  }

  /** Starts the instances, which register themselves in the store. */
  async start(platform) {
    this.#platform = platform;
    await Promise.all(this.instances.map((instance) => instance.start()));
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.#timer);
    for (const instance of this.instances) instance.stop();
  }

  get primary() {
    return this.instances
      .filter(({ role }) => role === "primary")
      .sort((a, b) => b.term - a.term)[0];
  }

  /** Adds a commit to the primary's log; replicas receive it at once and apply it later. */
  commit(primary) {
    primary.received += 1;
    primary.applied = primary.received;
    const number = primary.received;
    for (const instance of this.instances) {
      if (instance.role === "primary") continue;
      if (instance.pausedAt > primary.term) continue;
      instance.term = primary.term;
      instance.received = number;
      setTimeout(() => {
        instance.applied = Math.max(instance.applied, number);
      }, LAG_MS);
    }
  }

  /** Makes an instance the primary of the next term; the old one becomes a replica a second later. */
  async promote(id) {
    const next = this.instances.find((instance) => instance.id === id);
    if (!next) return 409;
    if (next === this.primary) return 200;
    setTimeout(() => {
      const old = this.primary;
      next.term = old.term + 1;
      next.role = "primary";
      next.pausedAt = 0;
      next.applied = next.received;
      setTimeout(() => {
        old.role = "replica";
        old.term = next.term;
        old.received = old.applied = next.received;
        this.#beat();
      }, 1_000);
      this.#beat();
    }, PROMOTE_MS);
    return await Promise.resolve(200);
  }

  #beat() {
    this.#sequence += 1;
    for (const instance of this.instances) {
      this.#platform.put("servers", instance.id, {
        service: this.name,
        address: `${ADDRESS}:${instance.door.port}`,
        zone: instance.zone,
        version: "v1",
        capacity: SLOTS,
        state: "ready",
        coldRemainingMs: 0,
        dbRole: instance.role,
        sequence: this.#sequence,
      });
    }
  }
}
