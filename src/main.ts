#!/usr/bin/env node
/**
 * The command line's entry.
 *
 * @module
 */
import { createCli } from "./commands/cli.ts";

process.exitCode = await createCli().run(process.argv.slice(2));
