/**
 * Stand-in of the platform for the cases of this review: the metadata store with
 * its feeds, the call that promotes, and one address ("door") for each host.
 *
 * It follows PROTOCOL.md. `restoreCopy` is the drill of the eighth letter: the
 * store comes back from a copy, and what was written since the copy is gone.
 */
import { createServer } from "node:http";

const FEED_WAIT_MAX_MS = 30_000;
const FOREIGN_TABLES = new Set(["op", "servers"]);

export class Store {
  /** Rows by table and key; all parts are empty. */
  rows = new Map();
  history = [];
  forgotten = 0;
  version = 0;
  era = 1;
  waiters = new Set();
  /** The stand-ins of the groups, which promote. */
  groups = new Map();
  /** Orders to promote, in the order of their arrival. */
  promotions = [];
  /** Called with what the record should hold. */
  onEvent = () => {};
  /** How each door behaves: `up` or `busy`. */
  modes = [];
  isAway = false;

  apply({ precondition = [], puts = [], remove = [] }) {
    const idOf = ({ table, key }) => `${table}\0${key}`;
    const broken = precondition.filter((one) =>
      (this.rows.get(idOf(one))?.ver ?? 0) !== one.ver
    );
    if (broken.length > 0) {
      return broken.flatMap((one) => this.rows.get(idOf(one)) ?? []);
    }
    this.version += 1;
    for (const { table, key, value } of puts) {
      this.#record({ table, part: "", key, value, ver: this.version });
    }
    for (const { table, key } of remove) {
      if (!this.rows.has(idOf({ table, key }))) continue;
      const row = { table, part: "", key, ver: this.version };
      this.#record({ ...row, deleted: true });
    }
    for (const wake of [...this.waiters]) wake();
    return undefined;
  }

  #record(row) {
    const id = `${row.table}\0${row.key}`;
    if (row.deleted) this.rows.delete(id);
    else this.rows.set(id, row);
    this.history.push(row);
  }

  value(table, key) {
    const row = this.rows.get(`${table}\0${key}`);
    return row && {
      ver: row.ver,
      ...JSON.parse(Buffer.from(row.value, "base64").toString()),
    };
  }

  /** Writes a row of the operator or an instance, unless the store is away. */
  putForeign(table, key, value) {
    if (this.isAway) return;
    const encoded = Buffer.from(JSON.stringify(value)).toString("base64");
    this.apply({ puts: [{ table, key, value: encoded }] });
  }

  /** Removes a row of an instance, as the platform does with one that is silent. */
  removeForeign(table, key) {
    if (!this.isAway) this.apply({ remove: [{ table, key }] });
  }

  /** Copies the state, as a backup does. */
  copy() {
    return {
      rows: new Map(this.rows),
      history: [...this.history],
      version: this.version,
    };
  }

  /** Comes back from a copy: versions go back and are given out again. */
  restoreCopy({ rows, history, version }) {
    this.rows = new Map(rows);
    this.history = [...history];
    this.version = version;
    this.era += 1;
  }

  async serve(url, body) {
    const query = url.searchParams;
    const table = query.get("table") ?? "";
    const state = () => ({
      ver: this.version,
      nowMs: Math.round(performance.now()),
    });
    switch (url.pathname) {
      case "/api/rows-tx": {
        const written = [...(body.puts ?? []), ...(body.remove ?? [])];
        if (written.some((one) => FOREIGN_TABLES.has(one.table))) {
          return [403, {}];
        }
        const rows = this.apply(body);
        return rows ? [412, { rows, ...state() }] : [200, state()];
      }
      case "/api/rows-get": {
        const from = query.get("from") ?? "";
        const rows = [...this.rows.values()]
          .filter((row) => row.table === table && row.key >= from)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        return [200, { rows, hasMore: false, ...state() }];
      }
      case "/api/rows-feed": {
        const after = Number(query.get("after"));
        const wait = Math.min(
          Number(query.get("waitMs") ?? 0),
          FEED_WAIT_MAX_MS,
        );
        return await this.#feed(table, after, wait, state);
      }
      case "/promote":
        return undefined;
    }
    return [404, {}];
  }

  async #feed(table, after, wait, state) {
    const until = performance.now() + wait;
    for (;;) {
      if (after < this.forgotten || after > this.version) return [410, {}];
      const rows = this.history.filter((row) =>
        row.table === table && row.ver > after
      );
      const left = until - performance.now();
      if (rows.length > 0 || left <= 0) return [200, { rows, ...state() }];
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.waiters.add(wake);
      });
    }
  }

  async promote(headers, { service, id }) {
    const order = {
      service,
      id,
      holder: headers["marjoramshed-lease-holder"],
      token: Number(headers["marjoramshed-fencing-token"]),
    };
    this.promotions.push(order);
    this.onEvent("promote", order);
    const group = this.groups.get(service);
    return [group ? await group.promote(id) : 409, {}];
  }

  /** Opens a door for one host; returns its port. */
  async openDoor(ip) {
    const index = this.modes.length;
    this.modes.push("up");
    const server = createServer(async (request, response) => {
      const body = await readBody(request);
      if (this.isAway) return void request.socket.resetAndDestroy();
      const url = new URL(request.url, "http://store");
      const isStoreCall = url.pathname !== "/promote";
      if (isStoreCall && this.modes[index] === "busy") {
        return this.#reply(response, 503, {});
      }
      const era = this.era;
      const [status, answer] = url.pathname === "/promote"
        ? await this.promote(request.headers, body)
        : await this.serve(url, body);
      // A connection that was open when the store went away delivers nothing.
      if (this.isAway || era !== this.era) {
        return void request.socket.resetAndDestroy();
      }
      this.#reply(response, status, answer);
    });
    return await listen(server, ip);
  }

  #reply(response, status, body) {
    response.writeHead(status, {
      "content-type": "application/json",
      "Store-Era": String(this.era),
    });
    response.end(JSON.stringify(body));
  }
}

async function readBody(request) {
  const parts = [];
  for await (const part of request) parts.push(part);
  const text = Buffer.concat(parts).toString();
  return text === "" ? undefined : JSON.parse(text);
}

function listen(server, ip) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, ip, () => resolve(server.address().port));
  });
}
