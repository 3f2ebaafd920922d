#!/usr/bin/env node
/**
 * The command line's entry.
 *
 * @module
 */
import { createCli } from "./commands/cli.ts";

await createCli().runExit(process.argv.slice(2));
