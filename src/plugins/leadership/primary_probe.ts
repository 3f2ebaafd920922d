/**
 * A probe of a primary over a new connection.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { ResultCodes } from "../../kernel/result_codes.ts";
import type { InstanceConnector } from "../connections/upstream_pools.ts";
import type { ListedInstance } from "../deployment/instance_directory.ts";

/** Timeout of a probe, in ms: two crossings between regions, opening a connection and a short queue. */
const PROBE_TIMEOUT_MS = 350;

/** A connection that fails within this time, in ms, counts as refused; a later failure counts as silence. */
const REFUSAL_MS = 250;

/** Asks an instance for its status; the error says whether it refused the connection or was silent. */
export async function probeInstance(
  connector: InstanceConnector,
  instance: ListedInstance,
  startedAt: number,
): Promise<Result<void, "refused" | "silent">> {
  const opened = await connector.open(instance, { timeout: PROBE_TIMEOUT_MS });
  if (opened.isErr()) {
    const { code } = opened.error;
    // The instance is alive, but has no slot for another connection.
    if (code === ResultCodes.UPSTREAM_REFUSED) return ok(undefined);
    const elapsed = clock.now() - startedAt;
    return err(elapsed < REFUSAL_MS ? "refused" : "silent");
  }
  const link = opened.value({ onReleased: () => {}, onClosed: () => {} });
  const status = await link.status(startedAt + PROBE_TIMEOUT_MS);
  link.destroy();
  if (status.isOk()) return ok(undefined);
  return status.error.silent ? err("silent") : ok(undefined);
}
