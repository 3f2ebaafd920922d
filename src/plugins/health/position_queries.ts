/**
 * Evaluates the instance statuses for a position that a request waits for.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import {
  containsPosition,
  formatPosition,
  type Position,
} from "../upstream/position.ts";
import {
  checkSurvival,
  type ConfirmedPrimary,
  type InstanceObservation,
} from "./quorum.ts";

/** A snapshot of the observations of a group. */
export interface GroupState {
  readonly database: string;
  readonly observations: readonly InstanceObservation[];
  /** The last primary that a majority confirmed. */
  readonly primary: ConfirmedPrimary | undefined;
  /** The position that a majority has received under its term. */
  readonly majorityPosition: Position;
}

/** Checks whether a majority holds a position; undefined while undecided, OUTCOME_UNKNOWN when a higher term discarded it. */
export function checkConfirmation(
  state: GroupState,
  position: Position,
): Result<void, Failure> | undefined {
  const {
    database,
    observations,
    primary,
    majorityPosition,
  } = state;
  if (
    majorityPosition.term === position.term &&
    majorityPosition.lsn >= position.lsn
  ) {
    return ok(undefined);
  }
  if (!primary || primary.term <= position.term) return undefined;
  const survival = checkSurvival(observations, primary, position);
  if (survival === "survived") return ok(undefined);
  if (survival === "open") return undefined;
  return err(createFailure(
    ResultCodes.OUTCOME_UNKNOWN,
    `${formatPosition(position)} of ${database} was replaced`,
    { detail: `term ${primary.term} does not contain it` },
  ));
}

/** Finds the first of the instances that has applied a position; undefined while none has, POSITION_INVALID when a higher term discarded it. */
export function findAppliedInstance(
  state: GroupState,
  instances: readonly string[],
  position: Position,
): Result<string, Failure> | undefined {
  const { observations, primary } = state;
  for (const name of instances) {
    const found = observations.find((item) => item.instance.name === name);
    if (found && hasApplied(found, position)) return ok(name);
  }
  if (!primary || primary.term <= position.term) return undefined;
  const { status, term } = primary;
  if (containsPosition(status, status.received, position)) return undefined;
  return err(createFailure(
    ResultCodes.POSITION_INVALID,
    `${formatPosition(position)} is not in the history of term ${term}`,
  ));
}

/** Whether the last status of an instance shows that it has applied a position. */
export function hasApplied(
  observation: InstanceObservation,
  position: Position,
): boolean {
  const { status } = observation;
  if (!status) return false;
  return containsPosition(status, status.applied, position);
}
