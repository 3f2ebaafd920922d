/**
 * The record of a case: what was sent, answered and run, with times in ms.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Lines of `record.txt`. */
export class Record {
  #lines = [];
  #begun = performance.now();

  /** Milliseconds since the case began. */
  get now() {
    return performance.now() - this.#begun;
  }

  /** Adds a line. */
  write(text) {
    this.#lines.push(`${this.now.toFixed(1).padStart(9)} ${text}`);
  }

  /** Writes the file into the folder of the case. */
  save(folder) {
    writeFileSync(join(folder, "record.txt"), this.#lines.join("\n") + "\n");
  }
}
