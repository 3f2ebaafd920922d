/**
 * A client on the line protocol, with one statement outstanding at a time.
 *
 * @module
 */
import { connect } from "node:net";
import { readLines } from "./instances.mjs";

/** Time in ms that a client waits for an answer. */
const ANSWER_MS = 8_000;

/** One session. */
export class Client {
  /** Name of the session in the record. */
  name;
  /** Whether the connection has ended. */
  closed = false;
  #socket;
  #record;
  #lines = [];
  #wake;

  constructor(socket, name, record) {
    this.#socket = socket;
    this.#record = record;
    this.name = name;
    socket.setNoDelay(true);
    readLines(socket, (line) => {
      this.#lines.push(line);
      this.#wake?.();
    });
    const end = (why) => {
      if (!this.closed) record.write(`${name} connection ended: ${why}`);
      this.closed = true;
      this.#wake?.();
    };
    socket.on("error", ({ code }) => end(code));
    socket.on("end", () => end("closed by the proxy"));
    socket.on("close", () => end("closed"));
  }

  /** Begins a session; undefined when it is refused. */
  static async open({ address, database, name, record }) {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    const client = new Client(socket, name, record);
    client.#write(`STARTUP ${database} ${name}`);
    const line = await client.#line();
    if (line?.startsWith("READY I")) return client;
    client.close();
    return undefined;
  }

  /** Sends one statement; resolves to its answer, or to undefined when the connection ended before a complete one. */
  async run(id, text) {
    this.#record.write(`${this.name} sends ${id} ${JSON.stringify(text)}`);
    this.#write(`QUERY ${id} ${text}`);
    const answer = { rows: [], error: undefined, signature: undefined };
    for (;;) {
      const line = await this.#line();
      if (line === undefined) return undefined;
      const [word, first] = line.split(" ");
      if (word === "DATAROW") answer.rows.push(line);
      if (word === "ERROR") answer.error = first;
      if (word === "COMPLETE") answer.signature = first;
      if (word !== "READY") continue;
      const outcome = answer.error ?? `COMPLETE ${answer.signature}`;
      this.#record.write(`${this.name} gets ${id} ${outcome} ${first}`);
      return { ...answer, state: first };
    }
  }

  close() {
    this.closed = true;
    this.#socket.destroy();
  }

  #write(line) {
    if (this.#socket.writable) this.#socket.write(`${line}\r\n`, "latin1");
  }

  async #line() {
    const until = performance.now() + ANSWER_MS;
    while (this.#lines.length === 0 && !this.closed) {
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
    return this.#lines.shift();
  }
}
