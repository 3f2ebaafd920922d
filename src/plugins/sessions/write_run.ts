/**
 * Runs a single write at the primary. It is sent again only after an answer
 * that says that nothing has run.
 *
 * @module
 */
import { formatPosition } from "../upstream/position.ts";
import { prepareLink } from "./link_preparation.ts";
import {
  answered,
  hasNotRun,
  noPrimary,
  type Outcome,
  refused,
  unknownOutcome,
} from "./outcome.ts";
import { confirmAnswer, noteLeaderAnswer } from "./primary_work.ts";
import type { ReadOperation } from "./read_run.ts";
import type { Task } from "./session_context.ts";

/** Pause before a write that was not run is tried again, in ms. */
const REPEAT_PAUSE_MS = 25;

/** Time left below which a write is not begun again, in ms. */
const LEAST_TIME_MS = 5;

/** Runs a write; the outcome is an answer, a true "not run", or unknown. */
export async function runWrite(
  task: Task,
  write: ReadOperation,
): Promise<Outcome> {
  const { context, route, deadline } = task;
  const leadership = context.succession.leadership(route.group);
  let last: Outcome | undefined;
  while (performance.now() < deadline - LEAST_TIME_MS) {
    const leader = await leadership.usable(deadline);
    if (!leader) {
      return last ?? refused(noPrimary(route.group, leadership.expectedIn()));
    }
    const leave = leadership.enter();
    try {
      const { instance } = leader;
      const lent = await context.pools.acquire(
        instance,
        route.priority,
        deadline,
      );
      if (lent.isErr()) {
        context.requests.attempt(task, instance, lent.error.message, {
          group: route.group,
        });
        last = refused(lent.error);
        continue;
      }
      const link = lent.value;
      context.succession.asked(route.group, instance);
      prepareLink(link, task.session, write.shape, deadline);
      const result = await link.run(
        { id: task.id, operation: write.operation },
        deadline,
      );
      if (result.isErr()) {
        const { over } = result.error;
        if (over) task.session.track(over);
        context.succession.failed(route.group, instance);
        return refused(unknownOutcome(
          `${instance} gave no answer to the write: ${result.error.reason}`,
        ));
      }
      const answer = result.value;
      link.release();
      noteLeaderAnswer(context, route.group, leader, answer);
      if (answer.fault) {
        last = answered(answer);
        if (!hasNotRun(answer.fault)) return last;
        context.requests.attempt(task, instance, answer.fault, {
          group: route.group,
          epoch: leader.epoch,
        });
        continue;
      }
      if (!await confirmAnswer(task, leader, answer)) {
        return refused(unknownOutcome(
          `${instance} was replaced while it ran the write`,
        ));
      }
      task.session.wrote(answer.position);
      context.requests.served(task, "write", () => ({
        group: route.group,
        instance,
        epoch: leader.epoch,
        position: answer.position && formatPosition(answer.position),
      }));
      return answered(answer);
    } finally {
      leave();
      if (last) {
        await new Promise((resolve) => setTimeout(resolve, REPEAT_PAUSE_MS));
      }
    }
  }
  return last ?? refused(noPrimary(route.group, leadership.expectedIn()));
}
