/**
 * Statements that the proxy answers itself: SET and SHOW of its own settings, and
 * DEALLOCATE of a prepared statement.
 *
 * @module
 */
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Classification } from "../classification/classification.ts";
import type { LocalAnswer } from "./local_answer.ts";
import type { Plan } from "./plan.ts";
import type { SessionState } from "./session_state.ts";

/** Executes a statement that the proxy answers itself; returns its answer or failure, or undefined for any other statement. */
export function answerLocally(
  plan: Plan,
  state: SessionState,
): LocalAnswer | Failure | undefined {
  if (plan.prepared) return answerPreparing(plan.prepared);
  const single = plan.single;
  if (single?.proxySetting) {
    const set = state.set(single.proxySetting);
    return set.isErr() ? set.error : { tag: "SET" };
  }
  if (single?.shownSetting !== undefined) {
    const name = single.shownSetting;
    const value = state.show(name);
    if (value === undefined) return unknownSetting(name);
    return { tag: "SHOW", column: `marjoramshed.${name}`, value };
  }
  if (single?.deallocatedStatement === undefined) return undefined;
  const known = state.statements.delete(single.deallocatedStatement);
  return known ? { tag: "DEALLOCATE" } : undefined;
}

/** The answer to a unit that prepares or describes such a statement, which changes nothing yet. */
function answerPreparing(
  { proxySetting, shownSetting, deallocatedStatement }: Classification,
): LocalAnswer | undefined {
  if (proxySetting) return { tag: "SET" };
  if (shownSetting !== undefined) {
    return { tag: "SHOW", column: `marjoramshed.${shownSetting}` };
  }
  return deallocatedStatement === undefined ? undefined : { tag: "DEALLOCATE" };
}

function unknownSetting(name: string): Failure {
  return createFailure(
    ResultCodes.PROTOCOL_UNSUPPORTED,
    `marjoramshed.${name} is not a setting`,
    { hint: "Known are position, session, kind and request." },
  );
}
