import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { clock } from "../../src/kernel/clock.ts";
import { PrimarySamples } from "../../src/plugins/freshness/primary_samples.ts";
import { comparePositions } from "../../src/plugins/upstream/position.ts";
import { createSuspension, setTimeOfDayBack } from "../support/suspension.ts";

const sampleAt = (time: number, lsn: number, term = 1) => ({
  at: time,
  position: { term, lsn: BigInt(lsn) },
});

function samplesOf(...all: ReturnType<typeof sampleAt>[]): PrimarySamples {
  const samples = new PrimarySamples();
  for (const sample of all) samples.add(sample);
  return samples;
}

describe("PrimarySamples", () => {
  // Guards against reads that are too old after the host was suspended.
  describe("after suspensions of the host", () => {
    const maxAge = 2_500;
    const oldest = () => clock.now() - maxAge;

    for (const [count, length] of [[1, 4_000], [50, 80]] as const) {
      it(`are as old as they are, after ${count} of ${length} ms`, (test) => {
        const suspend = createSuspension(test);
        const samples = samplesOf(sampleAt(clock.now(), 5));
        expect(samples.covering(oldest())).toEqual({ term: 1, lsn: 5n });
        for (let done = 0; done < count; done += 1) {
          suspend(length);
          samples.covering(oldest());
        }
        expect(samples.covering(oldest())).toEqual(undefined);
        expect(samples.required(oldest(), undefined)).toEqual(undefined);
      });
    }

    it("don't cover the time between a question from before and its answer", (test) => {
      const suspend = createSuspension(test);
      const samples = new PrimarySamples();
      const askedAt = clock.now();
      suspend(4_000);
      samples.add(sampleAt(askedAt, 5));
      expect(samples.covering(oldest())).toEqual(undefined);
      samples.add(sampleAt(clock.now(), 9));
      expect(samples.covering(oldest())).toEqual({ term: 1, lsn: 9n });
    });

    it("don't depend on the time of day", (test) => {
      const suspend = createSuspension(test);
      const samples = samplesOf(sampleAt(clock.now(), 5));
      setTimeOfDayBack(test);
      suspend(4_000);
      expect(samples.covering(oldest())).toEqual(undefined);
    });
  });

  it("returns the lowest position that covers a time", () => {
    const samples = samplesOf(
      sampleAt(100, 5),
      sampleAt(200, 9),
      sampleAt(300, 12),
    );
    expect(samples.covering(150)).toEqual({ term: 1, lsn: 9n });
    expect(samples.covering(200)).toEqual({ term: 1, lsn: 9n });
    expect(samples.covering(301)).toEqual(undefined);
  });

  it("never returns a position below one sampled before the time", () => {
    fc.assert(fc.property(
      fc.array(
        fc.record({ gap: fc.integer({ min: 1, max: 200 }), step: fc.nat(5) }),
        { minLength: 1, maxLength: 60 },
      ),
      fc.nat(8_000),
      (steps, time) => {
        const samples = new PrimarySamples();
        const all: ReturnType<typeof sampleAt>[] = [];
        let now = 0;
        let lsn = 0;
        for (const { gap, step } of steps) {
          now += gap;
          lsn += step;
          all.push(sampleAt(now, lsn));
          samples.add(all.at(-1)!);
        }
        const covering = samples.covering(time);
        if (!covering) return;
        const before = all.filter((sample) => sample.at <= time).at(-1);
        if (!before) return;
        expect(comparePositions(covering, before.position) >= 0).toEqual(true);
      },
    ));
  });

  it("discards the samples of earlier terms when a new term begins", () => {
    const samples = samplesOf(sampleAt(100, 50), sampleAt(200, 40, 2));
    expect(samples.covering(50)).toEqual({ term: 2, lsn: 40n });
    samples.add(sampleAt(300, 60, 1));
    expect(samples.latest).toEqual(sampleAt(200, 40, 2));
  });

  it("requires the session's own position unless a later term covers it", () => {
    const samples = samplesOf(sampleAt(100, 5));
    expect(samples.required(100, { term: 1, lsn: 9n }))
      .toEqual({ term: 1, lsn: 9n });
    samples.add(sampleAt(200, 4, 2));
    expect(samples.required(100, { term: 1, lsn: 9n }))
      .toEqual({ term: 2, lsn: 4n });
  });

  it("returns when a position was reached and passed", () => {
    const samples = samplesOf(sampleAt(100, 5), sampleAt(200, 9));
    expect(samples.reachedAt({ term: 1, lsn: 6n })).toEqual(200);
    expect(samples.reachedAt({ term: 1, lsn: 10n })).toEqual(Infinity);
    expect(samples.passedAt({ term: 1, lsn: 5n })).toEqual(200);
    expect(samples.passedAt({ term: 1, lsn: 9n })).toEqual(undefined);
  });
});
