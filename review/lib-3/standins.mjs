// Stand-ins for the cases of the third review: the platform's store with the call that
// promotes, the instances of one service on the line protocol, and callers. They run in the
// process of the case's script; only the project's own program runs as separate processes.

import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const HOST = "127.0.0.1";
export const SERVICE = "ledger";
export const ZONES = {
  "zagreb-a": "zagreb",
  "split-a": "split",
  "osijek-a": "osijek",
};

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const now = () => performance.now();

/** A port that is free at the moment. */
export function freePort() {
  return new Promise((done) => {
    const server = net.createServer().listen(0, HOST, () => {
      const { port } = server.address();
      server.close(() => done(port));
    });
  });
}

/** Two free ports in a row, for the internal port range of a machine. */
export async function freePortPair() {
  for (;;) {
    const first = await freePort();
    const isFree = await new Promise((done) => {
      const server = net.createServer().once("error", () => done(false));
      server.listen(first + 1, HOST, () => server.close(() => done(true)));
    });
    if (isFree && first < 65_535) return first;
  }
}

/** Waits until a condition holds; throws after a time limit in ms. */
export async function until(what, limit, condition) {
  const end = now() + limit;
  while (!(await condition())) {
    if (now() > end) throw new Error(`not within ${limit} ms: ${what}`);
    await sleep(20);
  }
}

/** What was sent, answered and run, with times since the start of the script. */
export class Record {
  #path;
  #startedAt = now();

  constructor(folder) {
    this.#path = join(folder, "record.txt");
    writeFileSync(this.#path, "");
  }

  write(text) {
    const at = ((now() - this.#startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.#path, `${at} ${text}\n`);
  }
}

/** The platform's metadata store and its call that promotes. Each machine has an address of its own, so that a disruption can concern one machine alone. */
export class Platform {
  rows = new Map();
  changes = [];
  version = 0;
  promotions = [];
  /** Called for each call of a machine; may return "silent", "reset" or "busy", or wait. */
  disrupt = () => undefined;
  group;
  #waiting = new Set();
  #servers = [];
  #record;

  constructor(record) {
    this.#record = record;
  }

  /** Opens the address of one machine. */
  async open(machine) {
    const server = http.createServer((request, response) =>
      void this.#serve(machine, request, response)
    );
    server.keepAliveTimeout = 60_000;
    this.#servers.push(server);
    await new Promise((done) => server.listen(0, HOST, done));
    return `${HOST}:${server.address().port}`;
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Writes a row, as the operator and the instances do. */
  put(table, key, value) {
    this.apply([{
      table,
      key,
      value: Buffer.from(JSON.stringify(value)).toString("base64"),
    }], []);
  }

  remove(table, key) {
    this.apply([], [{ table, key }]);
  }

  /** The rows of the system's own table, decoded. */
  own() {
    return [...this.rows.values()].filter(({ table }) =>
      table !== "op" && table !== "servers"
    )
      .map(({ key, value, ver }) => ({
        key,
        ver,
        value: JSON.parse(Buffer.from(value, "base64").toString()),
      }));
  }

  apply(puts, removals) {
    this.version += 1;
    const ver = this.version;
    for (const { table, key, value, part = "" } of puts) {
      const row = { table, part, key, value, ver };
      this.rows.set(`${table}\0${part}\0${key}`, row);
      this.changes.push(row);
    }
    for (const { table, key, part = "" } of removals) {
      if (!this.rows.delete(`${table}\0${part}\0${key}`)) continue;
      this.changes.push({ table, part, key, value: null, ver, deleted: true });
    }
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(machine, request, response) {
    const parts = [];
    for await (const part of request) parts.push(part);
    const body = parts.length > 0
      ? JSON.parse(Buffer.concat(parts).toString())
      : undefined;
    const url = new URL(request.url, "http://store");
    const fate = await this.disrupt({
      machine,
      path: url.pathname,
      body,
      query: url.searchParams,
    });
    if (fate === "silent") return;
    if (fate === "reset") return void request.socket.resetAndDestroy();
    if (fate === "busy") return reply(response, 503, {});
    const [status, answer] = await this.#answer(machine, url, body, request);
    // 3 ms a transaction and the way there and back.
    await sleep(3);
    if (!response.destroyed) reply(response, status, answer);
  }

  async #answer(machine, url, body, request) {
    const state = () => ({ ver: this.version, nowMs: Math.round(now()) });
    const { pathname, searchParams: query } = url;
    const table = query.get("table");
    if (pathname === "/promote") {
      const holder = request.headers["marjoramshed-lease-holder"];
      const token = Number(request.headers["marjoramshed-fencing-token"]);
      this.promotions.push({ at: now(), holder, token, ...body });
      this.#record.write(
        `platform: ${machine} orders ${
          JSON.stringify(body)
        } holder ${holder} token ${token}`,
      );
      return [await this.group.promote(body.id) ? 200 : 409, {}];
    }
    if (pathname === "/api/rows-get") {
      const from = query.get("from") ?? "";
      const rows = [...this.rows.values()]
        .filter((row) =>
          row.table === table && row.part === (query.get("part") ?? "") &&
          row.key >= from
        )
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return [200, { rows, hasMore: false, ...state() }];
    }
    if (pathname === "/api/rows-feed") {
      const after = Number(query.get("after"));
      const end = now() + Number(query.get("waitMs"));
      for (;;) {
        const changed = new Map();
        for (const row of this.changes) {
          if (row.table === table && row.ver > after) {
            changed.delete(row.key);
            changed.set(row.key, row);
          }
        }
        const left = end - now();
        if (changed.size > 0 || left <= 0) {
          return [200, { rows: [...changed.values()], ...state() }];
        }
        await new Promise((done) => {
          const wake = () => {
            clearTimeout(timer);
            this.#waiting.delete(wake);
            done();
          };
          const timer = setTimeout(wake, left);
          this.#waiting.add(wake);
        });
      }
    }
    if (pathname === "/api/rows-tx") {
      const { precondition = [], puts = [], remove = [] } = body;
      if (
        [...puts, ...remove].some((row) =>
          row.table === "op" || row.table === "servers"
        )
      ) return [403, {}];
      const broken = precondition.filter(({ table, part = "", key, ver }) =>
        (this.rows.get(`${table}\0${part}\0${key}`)?.ver ?? 0) !== ver
      );
      if (broken.length > 0) return [412, { rows: [], ...state() }];
      this.apply(puts, remove);
      return [200, state()];
    }
    return [404, {}];
  }
}

function reply(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** One instance of the service. */
class Instance {
  role = "replica";
  term = 1;
  /** Commits that it has received. */
  log = [];
  /** Number of commits that its data show. */
  applied = 0;
  held = 0;
  state = "ready";
  isUp = true;
  /** It receives nothing while true. */
  isDeaf = false;
  sequence = 0;
  born = Date.now();
  connections = new Set();
  busy = 0;
  queue = [];

  constructor(id, zone) {
    this.id = id;
    this.zone = zone;
  }

  positionAt(count) {
    const last = this.log[count - 1];
    return last ? `${last.term}.${last.number}` : `${this.term}.0`;
  }
}

/** The instances of one service. */
export class Group {
  instances;
  /** Statements of clients that instances ran: { id, text, instance, at }. */
  ran = [];
  /** Commits: { id, instance, term, at }. */
  commits = [];
  workMs = 4;
  statusMs = 0.5;
  slots = 3;
  queueLength = 24;
  lagMs = 60;
  promoteMs = 1_000;
  maxConnections = 22;
  /** Replicas that have received a commit before it is acknowledged. */
  syncReplicas = 0;
  /** Answers a read with these rows instead of the item's value. */
  rowsOf;
  /** May change what happens to a statement: { instance, id, text } -> "lose" runs it and loses the answer. */
  disrupt = () => undefined;
  #platform;
  #record;
  #timer;
  #signed = 0;

  constructor(platform, record, ids = ["i-1", "i-2", "i-3"]) {
    this.#platform = platform;
    this.#record = record;
    const zones = Object.keys(ZONES);
    this.instances = ids.map((id, index) => new Instance(id, zones[index]));
    this.instances[0].role = "primary";
  }

  async start() {
    for (const instance of this.instances) await this.#listen(instance);
    this.#timer = setInterval(
      () => this.instances.forEach((one) => this.beat(one)),
      1_200,
    );
  }

  close() {
    clearInterval(this.#timer);
    for (const instance of this.instances) this.#cut(instance);
  }

  get(id) {
    return this.instances.find((one) => one.id === id);
  }

  get primary() {
    return this.instances.filter((one) => one.role === "primary" && one.isUp)
      .sort((a, b) => b.term - a.term)[0];
  }

  beat(instance) {
    if (!instance.isUp) return;
    instance.sequence += 1;
    const entry = this.entryOf(instance);
    if (entry) this.#platform.put("servers", instance.id, entry);
  }

  /** What an instance says of itself in the store; nothing if undefined. */
  entryOf = (instance) => ({
    service: SERVICE,
    address: `${HOST}:${instance.port}`,
    zone: instance.zone,
    version: "v1",
    capacity: this.slots,
    state: instance.state,
    coldRemainingMs: 0,
    dbRole: instance.role,
    born: instance.born,
    sequence: instance.sequence,
  });

  /** The instance crashes; it sends nothing more and refuses connections. */
  crash(instance) {
    instance.isUp = false;
    this.#cut(instance);
    this.#record.write(`group: ${instance.id} crashes`);
  }

  /** The instance goes dark: it answers nothing more. */
  darken(instance) {
    instance.isUp = false;
    this.#record.write(`group: ${instance.id} goes dark`);
  }

  #cut(instance) {
    instance.server?.close();
    for (const socket of instance.connections) socket.destroy();
  }

  #listen(instance) {
    instance.server = net.createServer((socket) =>
      this.#accept(instance, socket)
    );
    return new Promise((done) => {
      instance.server.listen(instance.port ?? 0, HOST, () => {
        instance.port = instance.server.address().port;
        this.beat(instance);
        done();
      });
    });
  }

  promote(id) {
    const instance = this.get(id);
    if (!instance?.isUp) return false;
    if (instance === this.primary) return true;
    setTimeout(() => {
      const old = this.instances.filter((one) => one.role === "primary");
      instance.term = Math.max(...this.instances.map(({ term }) => term)) + 1;
      instance.role = "primary";
      instance.held = 0;
      instance.applied = instance.log.length;
      this.#record.write(
        `group: ${id} leads term ${instance.term} with ${instance.log.length} commits`,
      );
      this.beat(instance);
      for (const one of old) {
        setTimeout(() => {
          if (one.term < instance.term) this.#follow(one, instance);
        }, 1_000);
      }
      for (const one of this.instances) {
        if (one.role === "replica") this.#follow(one, instance);
      }
    }, this.promoteMs);
    return true;
  }

  #follow(instance, primary) {
    if (!instance.isUp || instance.held > primary.term) return;
    instance.role = "replica";
    instance.term = primary.term;
    this.#receive(instance, primary);
    this.beat(instance);
  }

  #receive(instance, primary) {
    if (!instance.isUp || instance.isDeaf || instance.held > primary.term) {
      return;
    }
    instance.term = Math.max(instance.term, primary.term);
    instance.log = [...primary.log];
    instance.applied = Math.min(instance.applied, instance.log.length);
    const count = instance.log.length;
    setTimeout(() => {
      instance.applied = Math.max(
        instance.applied,
        Math.min(count, instance.log.length),
      );
    }, this.lagMs);
  }

  /** Commits; where commits wait for replicas, resolves once enough of them have received it. */
  async #commit(instance, writes) {
    const number = (instance.log.at(-1)?.number ?? 0) + 1;
    instance.log.push({ term: instance.term, number, writes });
    instance.applied = instance.log.length;
    for (const { id, text } of writes) {
      this.commits.push({
        id,
        instance: instance.id,
        term: instance.term,
        at: now(),
      });
      this.#record.write(
        `group: ${instance.id} commits ${id} "${
          text.slice(0, 60)
        }" as ${instance.term}.${number}`,
      );
    }
    const received = this.instances
      .filter((one) => one !== instance && one.role === "replica")
      .map(async (one) => {
        await sleep(1);
        this.#receive(one, instance);
        const last = one.log.at(-1);
        const has = last?.term === instance.term && last.number >= number;
        if (!has) await new Promise(() => {});
      });
    if (this.syncReplicas > 0) await Promise.any(received);
  }

  /** Replaces an instance that has drained: it ends, and its log goes to a new one at its address. */
  async replace(instance, id) {
    this.#cut(instance);
    instance.isUp = false;
    this.instances.splice(this.instances.indexOf(instance), 1);
    this.#platform.remove("servers", instance.id);
    this.#record.write(`group: ${instance.id} ends`);
    const successor = new Instance(id, instance.zone);
    successor.port = instance.port;
    successor.term = instance.term;
    successor.log = [...instance.log];
    successor.applied = instance.applied;
    this.instances.push(successor);
    await this.#listen(successor);
    this.#record.write(
      `group: ${id} starts at its address with its ${successor.log.length} commits`,
    );
    const { primary } = this;
    if (primary) this.#receive(successor, primary);
    return successor;
  }

  /** Waits for one of the slots; resolves to false if the queue is full. */
  #occupy(instance) {
    if (instance.busy < this.slots) {
      instance.busy += 1;
      return Promise.resolve(true);
    }
    if (instance.queue.length >= this.queueLength) {
      return Promise.resolve(false);
    }
    return new Promise((done) => instance.queue.push(done));
  }

  #free(instance) {
    const next = instance.queue.shift();
    if (next) next(true);
    else instance.busy -= 1;
  }

  #accept(instance, socket) {
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => instance.connections.delete(socket));
    const connection = {
      state: "I",
      isPlain: false,
      writes: [],
      values: new Map(),
      prepared: new Map(),
      isOpen: false,
    };
    let work = Promise.resolve();
    splitLines(socket, (line) => {
      work = work.then(() => this.#take(instance, socket, connection, line))
        .catch(() => {});
    });
  }

  async #take(instance, socket, connection, line) {
    const [word, id = "", ...rest] = line.split(" ");
    if (socket.destroyed || !instance.isUp) return;
    if (word === "TERMINATE") return void socket.end();
    if (!connection.isOpen) {
      const isOther = id !== SERVICE ||
        (rest[1] !== undefined && rest[1] !== instance.id);
      if (word !== "STARTUP" || isOther) {
        return void socket.end("ERROR MISROUTED no\r\n");
      }
      if (instance.connections.size >= this.maxConnections) {
        return void socket.end("ERROR TOOMANY no\r\n");
      }
      instance.connections.add(socket);
      connection.isOpen = true;
      await sleep(2);
      return void socket.write(
        `READY I ${instance.positionAt(instance.applied)}\r\n`,
      );
    }
    const given = rest.join(" ");
    const after = /^AFTER (\d+)\.(\d+) /.exec(given);
    const text = after ? given.slice(after[0].length) : given;
    const verb = text.split(" ", 1)[0];
    const needsSlot = ["READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"].includes(
      verb,
    );
    let outcome;
    if (needsSlot && !await this.#occupy(instance)) outcome = { error: "BUSY" };
    else {
      if (needsSlot) {
        await sleep(verb === "STATUS" ? this.statusMs : this.workMs);
        this.#free(instance);
      }
      // A connection that is closed rolls back, and runs nothing more.
      if (socket.destroyed || !instance.isUp) return;
      outcome = await this.#run(instance, connection, { id, text, after });
      if (socket.destroyed || !instance.isUp) return;
    }
    const isClients = id !== "-";
    if (isClients && !outcome.error) {
      this.ran.push({ id, text, instance: instance.id, at: now() });
    }
    if (await this.disrupt({ instance, id, text }) === "lose") {
      return void socket.destroy();
    }
    this.#signed += 1;
    const rows = (outcome.rows ?? []).map((row) => `DATAROW ${row}\r\n`).join(
      "",
    );
    const signature = isClients ? `${instance.id}.${this.#signed}` : "-";
    const end = outcome.error
      ? `ERROR ${outcome.error} ${instance.id}`
      : `COMPLETE ${signature}`;
    if (outcome.error && connection.state === "T") connection.state = "E";
    const position = instance.positionAt(instance.applied);
    socket.write(
      `${rows}${end}\r\nREADY ${connection.state} ${position}\r\n`,
      "latin1",
    );
  }

  #run(instance, connection, { id, text, after }) {
    const [verb, first = "", ...rest] = text.split(" ");
    if (connection.state === "E" && verb !== "ROLLBACK" && verb !== "COMMIT") {
      return { error: "MALFORMED" };
    }
    if (after) {
      const last = instance.log[instance.applied - 1] ??
        { term: instance.term, number: 0 };
      const [term, number] = [Number(after[1]), Number(after[2])];
      if (last.term < term || (last.term === term && last.number < number)) {
        return { error: "LAGGING" };
      }
    }
    const isPrimary = instance.role === "primary";
    const hasLost = connection.state === "T" && connection.isPlain &&
      !isPrimary;
    switch (verb) {
      case "STATUS":
      case "PAUSE":
      case "RESUME":
      case "STEPDOWN": {
        if (verb === "PAUSE" && Number(first) > instance.term) {
          instance.held = Number(first);
        }
        if (verb === "RESUME") instance.held = 0;
        if (verb === "STEPDOWN" && instance.term < Number(first)) {
          instance.role = "replica";
        }
        if (verb !== "STATUS") {
          this.#record.write(`group: ${instance.id} is told ${text}`);
        }
        const received = instance.positionAt(instance.log.length);
        return {
          rows: [
            `${instance.role} ${instance.term} ${received} ${instance.held} 0 ${instance.busy} ${instance.connections.size}`,
          ],
        };
      }
      case "SET":
        connection.values.set(first, rest.join(" "));
        return {};
      case "DISCARD":
        connection.values.clear();
        connection.prepared.clear();
        return {};
      case "PREPARE":
        connection.prepared.set(first, {
          effect: rest[0],
          shape: rest.slice(1).join(" "),
        });
        return {};
      case "DEALLOCATE":
        connection.prepared.delete(first);
        return {};
      case "BEGIN":
        connection.isPlain = first !== "READ";
        if (connection.isPlain && !isPrimary) return { error: "READONLY" };
        connection.state = "T";
        return {};
      case "ROLLBACK":
        connection.state = "I";
        connection.writes = [];
        return {};
      case "COMMIT": {
        const { writes, state } = connection;
        connection.state = "I";
        connection.writes = [];
        if (state === "E") return { error: "ABORTED" };
        if (writes.length > 0 && hasLost) return { error: "READONLY" };
        if (writes.length === 0) return {};
        return this.#commit(instance, writes).then(() => ({}));
      }
      case "EXECUTE": {
        const prepared = connection.prepared.get(first);
        if (!prepared) return { error: "NOSTMT" };
        return prepared.effect === "READ"
          ? this.#read(instance, connection, rest[0], hasLost)
          : this.#write(instance, connection, { id, text });
      }
      case "READ":
        return this.#read(instance, connection, first, hasLost);
      case "WRITE":
        return this.#write(instance, connection, { id, text });
    }
    return { error: "MALFORMED" };
  }

  #read(instance, connection, item, hasLost) {
    if (hasLost) return { error: "READONLY" };
    if (this.rowsOf) return { rows: this.rowsOf(item) };
    const writes = [
      ...instance.log.slice(0, instance.applied).flatMap((entry) =>
        entry.writes
      ),
      ...connection.writes,
    ];
    const last = writes.findLast(({ text }) => text.split(" ")[1] === item);
    return { rows: [last ? last.text.split(" ").slice(2).join(" ") : "none"] };
  }

  #write(instance, connection, write) {
    if (instance.role !== "primary") return { error: "READONLY" };
    if (connection.state === "T") connection.writes.push(write);
    else return this.#commit(instance, [write]).then(() => ({}));
    return {};
  }
}

/** Calls a function with each complete line of a socket. */
export function splitLines(socket, take) {
  let parts = [];
  socket.on("data", (chunk) => {
    let from = 0;
    for (;;) {
      const end = chunk.indexOf(10, from);
      if (end < 0) break;
      parts.push(chunk.subarray(from, end));
      const line = Buffer.concat(parts).toString("latin1");
      parts = [];
      take(line.endsWith("\r") ? line.slice(0, -1) : line);
      from = end + 1;
    }
    if (from < chunk.length) parts.push(chunk.subarray(from));
  });
}

/** A client's session. */
export class Caller {
  socket;
  #answer = { rows: [] };
  #waiting = [];
  closedAt;
  /** Bytes that have arrived. */
  received = 0;

  static async open(port, database) {
    const caller = new Caller();
    caller.socket = net.connect(port, HOST);
    caller.socket.setNoDelay(true);
    caller.socket.on("error", () => {});
    caller.socket.on("data", (chunk) => {
      caller.received += chunk.length;
    });
    caller.socket.on("close", () => caller.#end());
    caller.socket.on("end", () => caller.#end());
    splitLines(caller.socket, (line) => caller.#take(line));
    const ready = caller.#next();
    caller.socket.write(`STARTUP ${database} user\r\n`);
    const answer = await ready;
    if (answer.error || answer.isLost) {
      throw new Error(`no session: ${JSON.stringify(answer)}`);
    }
    return caller;
  }

  /** Sends a statement; resolves to its answer, or to one with `isLost` when the connection ends before. */
  run(id, text) {
    const answer = this.#next();
    this.socket.write(`QUERY ${id} ${text}\r\n`, "latin1");
    return answer;
  }

  close() {
    this.socket.destroy();
  }

  #next() {
    if (this.closedAt !== undefined) {
      return Promise.resolve({ rows: [], isLost: true });
    }
    return new Promise((done) => this.#waiting.push(done));
  }

  #take(line) {
    const [word, ...rest] = line.split(" ");
    if (word === "DATAROW") return void this.#answer.rows.push(rest.join(" "));
    if (word === "COMPLETE") this.#answer.signature = rest.join(" ");
    if (word === "ERROR") this.#answer.error = rest.join(" ");
    if (word !== "READY") return;
    const answer = { ...this.#answer, state: rest[0], at: now() };
    this.#answer = { rows: [] };
    this.#waiting.shift()?.(answer);
  }

  #end() {
    if (this.closedAt !== undefined) return;
    this.closedAt = now();
    for (const done of this.#waiting.splice(0)) {
      done({ ...this.#answer, isLost: true, at: now() });
    }
  }
}

/** One machine with the project's program, started with the command of the deploy file. */
export class Machine {
  name;
  logLines = [];
  #child;
  #settingsPath;
  #record;

  constructor(name, record) {
    this.name = name;
    this.#record = record;
  }

  async prepare(
    platform,
    folder,
    {
      zone = "zagreb-a",
      memoryMb = 350,
      maxFds = 4_300,
      graceS = 6,
      drainMs = 7_000,
    } = {},
  ) {
    this.port = await freePort();
    this.readyPort = await freePort();
    this.metricsPort = await freePort();
    const internal = await freePortPair();
    const address = await platform.open(this.name);
    const settings = {
      nodeName: this.name,
      role: "proxy",
      machineClass: "client",
      serves: ["client"],
      ip: HOST,
      zone,
      region: ZONES[zone],
      zones: ZONES,
      listenAddrs: {
        frontend: `${HOST}:${this.port}`,
        ready: `${HOST}:${this.readyPort}`,
      },
      internalPortRange: [internal, internal + 1],
      seeds: [],
      bootstrap: true,
      limits: {
        cpuShare: 0.675,
        cores: 1,
        memoryMb,
        maxFds,
        linkMbps: 1_000,
        diskMb: 0,
      },
      heartbeatMs: 1_200,
      bounds: {
        contactMs: 5_000,
        drainMs,
        graceS,
        lossSlackMs: 200,
        configApplyMs: 3_000,
      },
      platform: { address, form: "table" },
      cloudApi: { address, duties: ["promote"], dutyPerS: 50 },
    };
    // JSON is YAML.
    this.#settingsPath = join(folder, `${this.name}.yaml`);
    writeFileSync(this.#settingsPath, JSON.stringify(settings, undefined, 2));
  }

  get pid() {
    return this.#child.pid;
  }

  get hasEnded() {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  get end() {
    return this.#child.signalCode ?? this.#child.exitCode;
  }

  /** Starts the program without waiting for it. */
  spawn() {
    const [program, ...args] = deployCommand();
    const { PATH, HOME, LANG } = process.env;
    this.#child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH,
        HOME,
        LANG,
        MARJORAMSHED_SETTINGS: this.#settingsPath,
        MARJORAMSHED_METRICS_PORT: String(this.metricsPort),
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const child = this.#child;
    splitLines(child.stdout, (line) => {
      if (this.logLines.length < 20_000) this.logLines.push(line);
    });
    // Of a trace, the line that says why.
    splitLines(child.stderr, (line) => {
      if (/^(FATAL|marjoramshed)/.test(line)) {
        this.#record.write(`${this.name} stderr: ${line}`);
      }
    });
    child.on(
      "exit",
      (code, signal) =>
        this.#record.write(`${this.name} ended: code ${code} signal ${signal}`),
    );
    this.#record.write(`${this.name} started, pid ${child.pid}`);
  }

  async start() {
    this.spawn();
    await until(`${this.name} is ready`, 20_000, () => this.isReady());
  }

  /** The platform's question. */
  isReady() {
    return new Promise((done) => {
      const request = http.get({
        host: HOST,
        port: this.readyPort,
        path: "/api/readyz",
        timeout: 900,
        agent: false,
      });
      request.on("response", (response) => {
        response.resume();
        done(response.statusCode === 200);
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => done(false));
    });
  }

  signal(signal) {
    this.#record.write(`${this.name} gets ${signal}`);
    this.#child.kill(signal);
  }

  /** The process's own memory in MB, without the pages of files; undefined once it has ended. */
  memoryMb() {
    try {
      const text = readFileSync(`/proc/${this.pid}/status`, "utf8");
      return Number(/RssAnon:\s+(\d+)/.exec(text)?.[1]) / 1024 || undefined;
    } catch {
      return undefined;
    }
  }

  /** Keeps the process running as the platform does: one that has ended starts again after a short delay, and one that exceeds its memory is killed. Returns what was seen. */
  keepRunning(memoryLimitMb) {
    const seen = { ends: [], mostMb: 0, isStopped: false };
    void (async () => {
      let isCounted = false;
      while (!seen.isStopped) {
        await sleep(20);
        if (this.hasEnded) {
          if (!isCounted) seen.ends.push(`${this.end}`);
          isCounted = true;
          await sleep(1_000);
          if (seen.isStopped) return;
          this.spawn();
          isCounted = false;
          continue;
        }
        const memory = this.memoryMb() ?? 0;
        seen.mostMb = Math.max(seen.mostMb, memory);
        if (memory <= memoryLimitMb) continue;
        this.#record.write(
          `${this.name} has ${
            Math.round(memory)
          } MB of ${memoryLimitMb}: the platform kills it`,
        );
        seen.ends.push(`${Math.round(memory)} MB`);
        isCounted = true;
        this.kill();
        await until("the killed process is gone", 5_000, () => this.hasEnded);
      }
    })();
    return seen;
  }

  kill() {
    if (this.#child && !this.hasEnded) this.#child.kill("SIGKILL");
  }
}

/** The words of the deploy file's command for the proxies. */
function deployCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"$/m.exec(text)[1].split(" ");
}

/** The configuration of a small deployment. */
export function configuration(
  version = 1,
  {
    syncReplicas = 0,
    timeoutMs = 2_000,
    names = ["booking", "stock", "returns"],
    txIdleMs = 3_000,
  } = {},
) {
  const kinds = { stock: "bounded_staleness", returns: "read_your_writes" };
  return {
    version,
    routes: names.map((name) => ({
      name: `r-${name}`,
      host: name,
      prefix: "/",
      service: SERVICE,
      kind: kinds[name] ?? "primary",
      timeoutMs,
      targetLatencyMs: 800,
      priority: name === "booking" ? 1 : 2,
      maxAttempts: 2,
      ...(kinds[name]
        ? { maxStalenessMs: name === "stock" ? 1_500 : 2_500 }
        : {}),
    })),
    services: [{
      name: SERVICE,
      healthCheckPath: "/healthz",
      maxConnections: 22,
      protocol: "h1",
      tls: false,
      syncReplicas,
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 262_144,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      txIdleMs,
    },
  };
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(folderUrl, play) {
  const record = new Record(dirname(fileURLToPath(folderUrl)));
  const isTroubled = process.env.TROUBLE !== "0";
  const folder = mkdtempSync(join(tmpdir(), "review-3-"));
  const platform = new Platform(record);
  const group = new Group(platform, record);
  platform.group = group;
  const machines = [];
  const finish = (code, text) => {
    record.write(`result ${code}: ${text}`);
    console.log(text);
    for (const machine of machines) machine.kill();
    rmSync(folder, { recursive: true, force: true });
    process.exit(code);
  };
  // Leaves time to end within 120 s.
  setTimeout(() => finish(2, "the case took too long"), 110_000);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => finish(2, `ended by ${signal}`));
  }
  try {
    platform.put("op", "config", configuration());
    await group.start();
    const addMachine = async (name, options) => {
      const machine = new Machine(name, record);
      machines.push(machine);
      await machine.prepare(platform, folder, options);
      return machine;
    };
    record.write(isTroubled ? "with the disruption" : "without the disruption");
    const broken = await play({
      record,
      platform,
      group,
      addMachine,
      machines,
      isTroubled,
    });
    finish(broken ? 1 : 0, broken ? `broken: ${broken}` : "the rule held");
  } catch (error) {
    finish(2, `could not run: ${error?.stack ?? error}`);
  }
}
