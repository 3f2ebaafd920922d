/**
 * Reads lines that end with CR LF; a line feed or carriage return on its own
 * belongs to the line.
 *
 * @module
 */
import type { Socket } from "node:net";

const LINE_END = "\r\n";

/** Calls `onLine` with each complete line that a socket receives, without its line ending. */
export function readCrlfLines(
  socket: Socket,
  onLine: (line: string) => void,
): void {
  let partial = "";
  socket.setEncoding("latin1");
  socket.on("data", (chunk) => {
    const lines = (partial + chunk).split(LINE_END);
    partial = lines.pop()!;
    for (const line of lines) onLine(line);
  });
}
