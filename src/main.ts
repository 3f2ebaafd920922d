#!/usr/bin/env node
/**
 * Entry point of the command-line interface.
 *
 * @module
 */
import { createCli } from "./commands/cli.ts";

await createCli().runExit(process.argv.slice(2));
