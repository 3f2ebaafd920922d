/**
 * Inspects the first packet of a caller's connection before the handshake to
 * handle cancel requests, requests for GSS encryption and invalid lengths.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Maximum length of a startup packet. */
const MAX_STARTUP_BYTES = 10_000;
const CANCEL_REQUEST_CODE = 80877102;
const GSS_ENCRYPTION_REQUEST_CODE = 80877104;
const LENGTH_END = 4;
const CODE_END = 8;
const CANCEL_REQUEST_BYTES = 16;

/** Kind of the first packet; `closed` also stands for a timeout. */
export type FirstPacket =
  | { readonly kind: "startup" }
  | {
    readonly kind: "cancel";
    readonly processId: number;
    readonly secretKey: number;
  }
  | { readonly kind: "malformed" }
  | { readonly kind: "closed" };

/** Reads enough to identify the first packet; declines GSS encryption and puts a startup packet back into the socket. */
export async function readFirstPacket(
  socket: Socket,
  timeoutMs: number,
): Promise<FirstPacket> {
  for (;;) {
    const start = await readAtLeast(socket, LENGTH_END, timeoutMs);
    if (!start) return { kind: "closed" };
    const length = start.readUInt32BE(0);
    if (length < CODE_END || length > MAX_STARTUP_BYTES) {
      return { kind: "malformed" };
    }
    socket.unshift(start);
    const head = await readAtLeast(socket, CODE_END, timeoutMs);
    if (!head) return { kind: "closed" };
    const code = head.readUInt32BE(LENGTH_END);
    if (code === GSS_ENCRYPTION_REQUEST_CODE) {
      socket.write("N");
      if (head.length > CODE_END) socket.unshift(head.subarray(CODE_END));
      continue;
    }
    if (code !== CANCEL_REQUEST_CODE) {
      socket.unshift(head);
      return { kind: "startup" };
    }
    socket.unshift(head);
    const packet = await readAtLeast(socket, CANCEL_REQUEST_BYTES, timeoutMs);
    if (!packet) return { kind: "closed" };
    return {
      kind: "cancel",
      processId: packet.readInt32BE(CODE_END),
      secretKey: packet.readInt32BE(CODE_END + 4),
    };
  }
}

function readAtLeast(
  socket: Socket,
  minimumBytes: number,
  timeoutMs: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let length = 0;
    const finish = (result: Buffer | undefined): void => {
      clearTimeout(timer);
      socket.off("readable", onReadable);
      socket.off("end", onClose);
      socket.off("close", onClose);
      resolve(result);
    };
    const onClose = (): void => finish(undefined);
    const onReadable = (): void => {
      for (;;) {
        const chunk = socket.read() as Buffer | null;
        if (!chunk) return;
        parts.push(chunk);
        length += chunk.length;
        if (length >= minimumBytes) return finish(Buffer.concat(parts));
      }
    };
    const timer = setTimeout(onClose, timeoutMs);
    socket.on("readable", onReadable);
    socket.on("end", onClose);
    socket.on("close", onClose);
    onReadable();
  });
}
