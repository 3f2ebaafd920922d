/**
 * The command line: all commands under one name.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Builtins, Cli } from "clipanion";
import { AccountHashCommand } from "./account_hash.ts";
import {
  DocumentPromoteCommand,
  DocumentPutCommand,
} from "./document_changes.ts";
import {
  DocumentDiffCommand,
  DocumentHistoryCommand,
  DocumentShowCommand,
  DocumentValidateCommand,
} from "./document_queries.ts";
import { ProxyCommand } from "./proxy.ts";
import { StatusCommand } from "./status_command.ts";

const COMMANDS = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ProxyCommand,
  DocumentValidateCommand,
  DocumentPutCommand,
  DocumentDiffCommand,
  DocumentPromoteCommand,
  DocumentHistoryCommand,
  DocumentShowCommand,
  StatusCommand,
  AccountHashCommand,
];

/** Makes the command line. */
export function createCli(): Cli {
  // The SDK reads this when a client is made; its notice of a later end of support is no error here.
  process.env["AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED"] ??= "true";
  const cli = new Cli({
    binaryLabel: "marjoramshed",
    binaryName: "marjoramshed",
    binaryVersion: readVersion(),
  });
  for (const command of COMMANDS) cli.register(command);
  return cli;
}

function readVersion(): string {
  const file = new URL("../../../package.json", import.meta.url);
  const { version } = JSON.parse(readFileSync(file, "utf8"));
  return String(version);
}
