/**
 * Record of a group's primary in the table service. It is informational only; failover does not depend on it.
 *
 * @module
 */
import type { EventLog } from "../../kernel/events.ts";
import { Events } from "../../kernel/events.ts";
import type { TableService } from "../table_service/table_service.ts";

/** Primary of a group, as published in the table service. */
export interface GroupRecord {
  /** Environment of the document that has the group; others may have a database of the same name. */
  readonly environment: string;
  readonly database: string;
  readonly primary: string;
  readonly term: number;
  /** Name of the proxy that carried out the promotion. */
  readonly proposer: string;
}

/** Writes the record unless the stored row has the same or a higher term. Failures are only logged. */
export async function publishGroupRecord(
  tableService: TableService,
  log: EventLog,
  record: GroupRecord,
): Promise<void> {
  const { environment, database, primary, term, proposer } = record;
  const key = `group/${environment}/${database}`;
  const found = await tableService.get(key);
  if (found.isErr()) return reportFailure(log, found.error.message);
  const previousTerm = found.value?.attributes["term"];
  if (typeof previousTerm === "number" && previousTerm >= term) return;
  const row = { key, attributes: { primary, term, proposer } };
  const condition = previousTerm === undefined
    ? { kind: "absent" } as const
    : { kind: "equals", attribute: "term", value: previousTerm } as const;
  const written = await tableService.put([{ row, condition }]);
  if (written.isErr()) reportFailure(log, written.error.message);
}

function reportFailure(log: EventLog, failure: string): void {
  log.write(Events.TABLE_SERVICE_FAILED, { failure });
}
