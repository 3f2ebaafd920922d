/**
 * Registers the classifier.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { GrammarClassifier } from "./grammar_classifier.ts";

registerPlugin({
  name: "classification",
  needs: [],
  create: () => new GrammarClassifier(),
});
