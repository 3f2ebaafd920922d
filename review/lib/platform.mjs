/**
 * Stand-in of the users' platform: the metadata store, as PROTOCOL.md describes
 * it ("The platform's metadata store"), and the call that promotes.
 *
 * @module
 */
import { createServer } from "node:http";

/** Time of an answer in ms; the site's sheet gives 4 ms. */
const ANSWER_MS = 4;

const HTTP_PRECONDITION_FAILED = 412;

/** Rows, feeds and promotions on one port. */
export class Platform {
  #rows = new Map();
  #version = 0;
  #waiting = new Set();
  #server;
  #promote;
  port = 0;

  /** `promote` is called with a service and an instance's id; resolves to a status. */
  constructor(promote) {
    this.#promote = promote;
  }

  async start() {
    this.#server = createServer((request, response) =>
      void this.#handle(request, response)
    );
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.port = this.#server.address().port;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row of the operator or of an instance. */
  put(table, key, content) {
    this.#version += 1;
    const value = Buffer.from(JSON.stringify(content)).toString("base64");
    this.#set({ table, part: "", key, value, ver: this.#version });
    this.#wake();
  }

  #set(row) {
    this.#rows.set(`${row.table}\n${row.part}\n${row.key}`, row);
  }

  #wake() {
    for (const wake of [...this.#waiting]) wake();
  }

  #state() {
    return { ver: this.#version, nowMs: Math.round(performance.now()) };
  }

  async #handle(request, response) {
    const parts = [];
    for await (const part of request) parts.push(part);
    const text = Buffer.concat(parts).toString("utf8");
    const url = new URL(request.url, "http://platform");
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
    const [status, body] = await this.#serve(
      url,
      text ? JSON.parse(text) : undefined,
    );
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  }

  async #serve(url, body) {
    const query = url.searchParams;
    switch (url.pathname) {
      case "/api/rows-tx":
        return this.#apply(body);
      case "/api/rows-get":
        return [200, {
          rows: this.#read(query.get("table"), query.get("from") ?? ""),
          hasMore: false,
          ...this.#state(),
        }];
      case "/api/rows-feed":
        return [200, await this.#feed(query)];
      case "/promote":
        return [await this.#promote(body.service, body.id), {}];
    }
    return [404, {}];
  }

  #apply({ precondition = [], puts = [], remove = [] }) {
    const find = ({ table, part, key }) =>
      this.#rows.get(`${table}\n${part}\n${key}`);
    const broken = precondition.filter((row) => {
      const known = find(row);
      const version = known && !known.deleted ? known.ver : 0;
      return version !== row.ver;
    });
    if (broken.length > 0) {
      const rows = broken.map(find).filter((row) => row && !row.deleted);
      return [HTTP_PRECONDITION_FAILED, { rows, ...this.#state() }];
    }
    this.#version += 1;
    const ver = this.#version;
    for (const { table, part, key, value } of puts) {
      this.#set({ table, part, key, value, ver });
    }
    for (const { table, part, key } of remove) {
      if (find({ table, part, key })) {
        this.#set({ table, part, key, ver, deleted: true });
      }
    }
    this.#wake();
    return [200, this.#state()];
  }

  #read(table, from) {
    return [...this.#rows.values()]
      .filter((row) => row.table === table && !row.deleted && row.key >= from)
      .sort((a, b) => a.key < b.key ? -1 : 1);
  }

  async #feed(query) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const until = performance.now() + Number(query.get("waitMs") ?? 0);
    for (;;) {
      const rows = [...this.#rows.values()]
        .filter((row) => row.table === table && row.ver > after)
        .sort((a, b) => a.ver - b.ver);
      const left = until - performance.now();
      if (rows.length > 0 || left <= 0) return { rows, ...this.#state() };
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.#waiting.add(wake);
      });
    }
  }
}
