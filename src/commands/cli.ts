/**
 * The command line: all commands under one name.
 *
 * @module
 */
import { Builtins, Cli } from "clipanion";
import { ProxyCommand } from "./proxy.ts";

/** Makes the command line. */
export function createCli(): Cli {
  const cli = new Cli({
    binaryLabel: "marjoramshed",
    binaryName: "marjoramshed",
    binaryVersion: "0.1.0",
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.register(ProxyCommand);
  return cli;
}
