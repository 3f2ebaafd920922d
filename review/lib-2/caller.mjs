/** A client on the line protocol of PROTOCOL.md. */
import { connect } from "node:net";

export class Caller {
  lines = [];
  closed = false;
  #tail = "";
  #wake = () => {};

  constructor(socket) {
    this.socket = socket;
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => {
      this.closed = true;
      this.#wake();
    });
    socket.on("data", (chunk) => {
      const parts = (this.#tail + chunk.toString("latin1")).split("\r\n");
      this.#tail = parts.pop();
      this.lines.push(...parts);
      this.#wake();
    });
  }

  /** Connects and starts a session; rejects with the first line if it is refused. */
  static async open({ ip, port }, database, timeout = 2_000) {
    const socket = connect({ host: ip, port });
    const caller = new Caller(socket);
    caller.send(`STARTUP ${database} u1`);
    const line = await caller.line(timeout);
    if (!line?.startsWith("READY I")) {
      socket.destroy();
      throw new Error(line ?? "no READY");
    }
    return caller;
  }

  send(text) {
    this.socket.write(Buffer.from(`${text}\r\n`, "latin1"));
  }

  /** The next line; undefined after the timeout in ms or when the connection has ended. */
  async line(timeout) {
    const until = performance.now() + timeout;
    while (this.lines.length === 0 && !this.closed) {
      const left = until - performance.now();
      if (left <= 0) return undefined;
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, left);
        this.#wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    return this.lines.shift();
  }

  /** Runs a statement; `end` is its last word before READY, or `none` if no whole answer came. */
  async run(id, text, timeout = 5_000) {
    this.send(`QUERY ${id} ${text}`);
    return await this.answer(timeout);
  }

  /** Reads the answer to the oldest statement that is outstanding. */
  async answer(timeout = 5_000) {
    const until = performance.now() + timeout;
    const rows = [];
    let end = "none";
    let detail = "";
    for (;;) {
      const line = await this.line(until - performance.now());
      if (line === undefined) return { rows, end: "none", detail, state: "" };
      const [word, first = "", ...rest] = line.split(" ");
      if (word === "DATAROW") rows.push([first, ...rest].join(" "));
      if (word === "COMPLETE") [end, detail] = ["COMPLETE", first];
      if (word === "ERROR") [end, detail] = [first, rest.join(" ")];
      if (word === "READY") {
        return { rows, end, detail, state: first, position: rest[0] };
      }
    }
  }

  close() {
    this.socket.destroy();
  }
}
