// Statements that were sent ahead around SIGTERM: each has to get an answer.

import { Caller, runCase, sleep } from "../standins.mjs";

const CALLERS = 8;
const STATEMENTS = 60;

await runCase(import.meta.url, async ({ record, group, addMachine }) => {
  const machine = await addMachine("client-zagreb-a-1");
  await machine.start();
  let lost = 0;
  const play = async (at) => {
    const callers = await Promise.all(
      Array.from({ length: CALLERS }, () => Caller.open(machine.port, "stock")),
    );
    await sleep(at);
    const answers = callers.flatMap((caller, number) =>
      Array.from(
        { length: STATEMENTS },
        (_, index) => caller.run(`p${at}-${number}-${index}`, "READ item"),
      )
    );
    for (const answer of await Promise.all(answers)) {
      if (answer.isLost) lost += 1;
    }
  };
  const plays = [0, 900, 1_100].map(play);
  await sleep(1_000);
  machine.signal("SIGTERM");
  await Promise.all(plays);
  record.write(`${lost} statements got no answer, ${group.ran.length} ran`);
  return lost > 0 ? `${lost} statements got no answer` : undefined;
});
