/**
 * Processor time and memory of processes.
 *
 * @module
 */
import { readFileSync } from "node:fs";

const CLOCK_TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;

/** Processor time that a process has used, in seconds. */
export function processorSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

/** Memory of a process that is resident, in bytes. */
export function residentBytes(pid: number): number {
  const pages = readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1];
  return Number(pages) * PAGE_BYTES;
}
