/**
 * What callers were told, and the check of it against what the database holds.
 *
 * @module
 */

/** What a caller was told of a request in the end. */
export type Told = "acknowledged" | "not run" | "unknown" | "refused";

/** One request of a caller. */
export interface RequestRecord {
  readonly id: string;
  /** Rows that the request inserts. */
  readonly rows: number;
  /** Whether it carried a request id, and so may have been repeated. */
  readonly idempotent: boolean;
  readonly told: Told;
}

/** A read that missed a write which its session had been told of. */
export interface Violation {
  readonly id: string;
  readonly how: string;
}

/** The counts of a run. */
export interface Verdict {
  readonly acknowledged: number;
  readonly reads: number;
  readonly lost: readonly string[];
  readonly doubled: readonly string[];
  readonly torn: readonly string[];
  readonly falseNotRun: readonly string[];
  readonly readYourWrites: readonly Violation[];
}

/** Everything that callers were told in a run. */
export class History {
  readonly requests: RequestRecord[] = [];
  readonly violations: Violation[] = [];
  reads = 0;

  /** Compares with the rows that the primary holds at the end, by request. */
  check(found: ReadonlyMap<string, number>): Verdict {
    const select = (
      wrong: (request: RequestRecord, rows: number) => boolean,
    ): readonly string[] =>
      this.requests
        .filter((request) => wrong(request, found.get(request.id) ?? 0))
        .map((request) => request.id);
    return {
      acknowledged: this.requests.filter((item) => item.told === "acknowledged")
        .length,
      reads: this.reads,
      lost: select((request, rows) =>
        request.told === "acknowledged" && rows < request.rows
      ),
      doubled: select((request, rows) => rows > request.rows),
      torn: select((request, rows) => rows > 0 && rows < request.rows),
      falseNotRun: select((request, rows) =>
        request.told === "not run" && rows > 0
      ),
      readYourWrites: this.violations,
    };
  }
}

/** Whether a verdict shows a broken promise. */
export function isBroken(verdict: Verdict): boolean {
  const { lost, doubled, torn, falseNotRun, readYourWrites } = verdict;
  return [lost, doubled, torn, falseNotRun, readYourWrites]
    .some((list) => list.length > 0);
}
