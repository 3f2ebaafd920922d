import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { PrimarySamples } from "../../src/plugins/freshness/primary_samples.ts";
import { comparePositions } from "../../src/plugins/upstream/position.ts";

const sampleAt = (time: number, lsn: number, term = 1) => ({
  at: time,
  position: { term, lsn: BigInt(lsn) },
});

function samplesOf(...all: ReturnType<typeof sampleAt>[]): PrimarySamples {
  const samples = new PrimarySamples();
  for (const sample of all) samples.add(sample);
  return samples;
}

/** Runs work as after a suspension of the host: the wall clock went on, the monotonic clock did not. */
function runAfterSuspension(work: () => void): void {
  const realNow = Date.now;
  Date.now = () => realNow() + 4_000;
  try {
    work();
  } finally {
    Date.now = realNow;
  }
}

describe("PrimarySamples", () => {
  // Guards against reads that are too old after the host was suspended.
  describe("after the host was suspended", () => {
    it("discard what was sampled before, however fresh it seems", () => {
      for (
        const read of [
          (samples: PrimarySamples) => samples.covering(0),
          (samples: PrimarySamples) => samples.required(0, undefined),
          (samples: PrimarySamples) => samples.latest,
          (samples: PrimarySamples) => samples.passedAt({ term: 1, lsn: 0n }),
        ]
      ) {
        const samples = samplesOf(sampleAt(performance.now(), 5));
        expect(read(samples) !== undefined).toEqual(true);
        runAfterSuspension(() => expect(read(samples)).toEqual(undefined));
      }
    });

    it("ignore an answer to a question from before, and take a later one", () => {
      const samples = new PrimarySamples();
      const askedAt = performance.now();
      runAfterSuspension(() => {
        samples.add(sampleAt(askedAt, 5));
        expect(samples.covering(0)).toEqual(undefined);
        samples.add(sampleAt(performance.now(), 9));
        expect(samples.covering(0)).toEqual({ term: 1, lsn: 9n });
      });
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
