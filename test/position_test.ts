import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  comparePositions,
  containsPosition,
  formatPosition,
  parsePosition,
} from "../src/plugins/upstream/position.ts";

const position = fc.record({
  term: fc.integer({ min: 0, max: 2 ** 31 }),
  lsn: fc.bigInt({ min: 0n, max: 2n ** 63n }),
}, { noNullPrototype: true });

describe("position", () => {
  describe("text form", () => {
    it("parses every formatted position to an equal position", () => {
      fc.assert(fc.property(position, (value) => {
        expect(parsePosition(formatPosition(value))).toEqual(value);
      }));
    });

    it("parses any other text to undefined", () => {
      for (const text of ["", "1", "1/", "/2", "1/2/3", "a/1", "1/-2"]) {
        expect(parsePosition(text)).toEqual(undefined);
      }
    });
  });

  describe("order", () => {
    it("is antisymmetric for any two positions", () => {
      fc.assert(fc.property(position, position, (a, b) => {
        const forward = Math.sign(comparePositions(a, b));
        expect(forward + Math.sign(comparePositions(b, a))).toEqual(0);
      }));
    });
  });

  describe("containment", () => {
    const history = {
      lastTerm: 3,
      termStarts: [{ term: 1, lsn: 0n }, { term: 3, lsn: 100n }],
    };

    it("holds for a position before the start of the next term", () => {
      expect(containsPosition(history, 150n, { term: 1, lsn: 100n })).toEqual(
        true,
      );
    });

    it("fails for a position that the next term discarded", () => {
      expect(containsPosition(history, 150n, { term: 1, lsn: 101n })).toEqual(
        false,
      );
    });

    it("fails for a position of a term that the history skipped", () => {
      expect(containsPosition(history, 150n, { term: 2, lsn: 100n })).toEqual(
        false,
      );
    });

    it("fails for a log that ends earlier or at a lower term", () => {
      expect(containsPosition(history, 150n, { term: 3, lsn: 151n })).toEqual(
        false,
      );
      expect(containsPosition(history, 150n, { term: 4, lsn: 120n })).toEqual(
        false,
      );
    });
  });
});
