// A crowd of clients that send a message of legal size each makes the process exceed its memory.

import { Caller, runCase, sleep, until } from "../standins.mjs";

/** Messages of the crowd, just within the page's 1 MiB. */
const MESSAGE_BYTES = 1024 * 1024 - 64;
/** A tenth of the sockets that a machine of 4,300 descriptors has. */
const CROWD = 400;
/** The crowd without the disruption. */
const CALM_CROWD = 10;
const MEMORY_MB = 350;
const ROUNDS = 3;
/** Ends of a process by itself, and machines with so many, from which on the rule is broken. */
const ENDS = 3;
const MACHINES = 2;

await runCase(import.meta.url, async ({ record, addMachine, isTroubled }) => {
  const machines = [
    await addMachine("client-zagreb-a-1"),
    await addMachine("client-split-a-1", { zone: "split-a" }),
  ];
  await Promise.all(machines.map((machine) => machine.start()));
  const seen = machines.map((machine) => machine.keepRunning(MEMORY_MB));
  const data = "x".repeat(MESSAGE_BYTES);
  for (let round = 1; round <= ROUNDS; round += 1) {
    for (const machine of machines) {
      await until(`${machine.name} is ready`, 20_000, () => machine.isReady());
      const ordinary = await Caller.open(machine.port, "stock");
      const before = await ordinary.run(`o-${round}`, "READ item");
      const crowd = await Promise.all(
        Array.from(
          { length: isTroubled ? CROWD : CALM_CROWD },
          () => Caller.open(machine.port, "booking"),
        ),
      );
      record.write(
        `round ${round}: ${crowd.length} clients send ${MESSAGE_BYTES} bytes each to ${machine.name}; an ordinary read before: ${before.signature}`,
      );
      const answers = await Promise.all(
        crowd.map((one, index) =>
          one.run(`c-${round}-${index}`, `WRITE item${index} ${data}`)
        ),
      );
      const counts = {};
      for (const { isLost, error } of answers) {
        const kind = isLost
          ? "connection ended"
          : (error?.split(" ")[0] ?? "committed");
        counts[kind] = (counts[kind] ?? 0) + 1;
      }
      await sleep(300);
      record.write(
        `round ${round}: ${machine.name} answered the crowd ${
          JSON.stringify(counts)
        }; the ordinary session ${
          ordinary.closedAt === undefined ? "goes on" : "was cut"
        }`,
      );
      for (const one of [ordinary, ...crowd]) one.close();
    }
  }
  for (const [index, { ends, mostMb }] of seen.entries()) {
    record.write(
      `${machines[index].name}: ended ${ends.length} times (${
        ends.join(", ")
      }), at most ${Math.round(mostMb)} MB seen`,
    );
  }
  const ending = seen.filter(({ ends }) => ends.length >= ENDS).length;
  for (const one of seen) one.isStopped = true;
  return ending >= MACHINES
    ? `on ${ending} machines the process ended ${ENDS} times: it exceeded ${MEMORY_MB} MB`
    : undefined;
});
