/**
 * The command-line interface: registers all commands.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Builtins, Cli } from "clipanion";
import { AccountHashCommand } from "./account_hash.ts";
import { CheckCommand } from "./check_command.ts";
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
  CheckCommand,
  DocumentValidateCommand,
  DocumentPutCommand,
  DocumentDiffCommand,
  DocumentPromoteCommand,
  DocumentHistoryCommand,
  DocumentShowCommand,
  StatusCommand,
  AccountHashCommand,
];

/** Creates the command-line interface with all commands. */
export function createCli(): Cli {
  // Suppresses the AWS SDK's notice that support for this Node.js version will end, which is not
  // an error here. The SDK reads the variable when a client is created.
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
