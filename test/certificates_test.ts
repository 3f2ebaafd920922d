/**
 * TLS between proxies and towards callers: handshakes, expiry, wrong authorities,
 * and rotation without a restart.
 *
 * @module
 */
import {
  mkdtempSync,
  rmSync,
  statSync,
  utimesSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, before, beforeEach, describe, it } from "node:test";
import { connect } from "node:tls";
import { expect } from "earl";
import { z } from "zod";
import { clock } from "../src/kernel/clock.ts";
import { createEventLog, EventLog } from "../src/kernel/events.ts";
import { CallerCertificate } from "../src/plugins/callers/caller_certificate.ts";
import type { PeerProcedure } from "../src/plugins/peers/peers.ts";
import { TrpcPeers } from "../src/plugins/peers/trpc_peers.ts";
import {
  CertificateFolder,
  EXPIRED,
  type IssuedCertificate,
  TestAuthority,
} from "./fixtures/certificates.ts";
import { eventually } from "./support/eventually.ts";

const KEY = "the key of this month";
const TIMEOUT_MS = 2_000;

const echo: PeerProcedure<{ text: string }, string> = {
  name: "echo",
  input: z.object({ text: z.string() }),
  output: z.string(),
};

/** Serial number of the certificate that a TLS server shows, in lower case. */
function shownSerial(port: number, own: IssuedCertificate): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect({
      host: "127.0.0.1",
      port,
      cert: own.certificate,
      key: own.key,
      rejectUnauthorized: false,
    }, () => {
      resolve(socket.getPeerCertificate().serialNumber.toLowerCase());
      socket.destroy();
    });
    socket.on("error", reject);
  });
}

describe("certificates", () => {
  let authority: TestAuthority;
  let other: TestAuthority;
  let folder: string;
  const started: TrpcPeers[] = [];

  before(async () => {
    authority = await TestAuthority.create("own");
    other = await TestAuthority.create("other");
  });
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "marjoramshed-"));
  });
  afterEach(async () => {
    for (const peers of started.splice(0)) await peers.stop();
    rmSync(folder, { recursive: true, force: true });
  });

  async function startPeers(
    name: string,
    issued: IssuedCertificate,
    accepted: readonly TestAuthority[] = [authority],
  ): Promise<{ readonly peers: TrpcPeers; readonly files: CertificateFolder }> {
    const files = new CertificateFolder(folder, name);
    files.write(issued);
    files.writeAuthorities(...accepted);
    const peers = new TrpcPeers({
      address: "127.0.0.1",
      peerPort: 0,
      peerKey: KEY,
      peerCertificate: files.certificate,
      peerCertificateKey: files.key,
      peerAuthority: files.authority,
    }, createEventLog("fatal", {}));
    peers.serve(echo, ({ text }) => text);
    await peers.start();
    started.push(peers);
    return { peers, files };
  }

  async function answers(caller: TrpcPeers, server: TrpcPeers) {
    const input = { text: "x" };
    const called = await caller.call(server.endpoint, echo, input, TIMEOUT_MS);
    return called.isOk();
  }

  describe("of peers", () => {
    it("of the same authority are accepted", async () => {
      const { peers: a } = await startPeers("a", await authority.issue());
      const { peers: b } = await startPeers("b", await authority.issue());
      expect(await answers(a, b)).toEqual(true);
      expect(await answers(b, a)).toEqual(true);
    });

    it("of another authority are rejected by both sides", async () => {
      const { peers: a } = await startPeers("a", await authority.issue());
      const { peers: b } = await startPeers("b", await other.issue(), [
        authority,
        other,
      ]);
      expect(await answers(a, b)).toEqual(false);
      expect(await answers(b, a)).toEqual(false);
    });

    it("that have expired are rejected by both sides", async () => {
      const expired = await authority.issue(EXPIRED);
      const { peers: a } = await startPeers("a", await authority.issue());
      const { peers: b } = await startPeers("b", expired);
      expect(await answers(a, b)).toEqual(false);
      expect(await answers(b, a)).toEqual(false);
    });

    it("are missing in a connection without TLS, which is rejected", async () => {
      const { peers: a } = await startPeers("a", await authority.issue());
      const plain = new TrpcPeers(
        { address: "127.0.0.1", peerPort: 0, peerKey: KEY },
        createEventLog("fatal", {}),
      );
      await plain.start();
      started.push(plain);
      expect(await answers(plain, a)).toEqual(false);
    });

    it("are replaced without a restart while calls go on", async () => {
      const { peers: a, files } = await startPeers(
        "a",
        await authority.issue(),
      );
      const { peers: b } = await startPeers("b", await authority.issue());
      const renewed = await authority.issue();
      const probe = await authority.issue();
      files.write(renewed);
      let failures = 0;
      await eventually(
        async () => {
          if (!await answers(a, b)) failures += 1;
          if (!await answers(b, a)) failures += 1;
          return await shownSerial(a.port, probe) === renewed.serial;
        },
        "the new certificate is shown",
        8_000,
      );
      expect(failures).toEqual(0);
    });

    it("of a withdrawn authority are rejected, on open connections as well", async () => {
      const { peers: a, files } = await startPeers(
        "a",
        await authority.issue(),
        [authority, other],
      );
      const { peers: b } = await startPeers("b", await other.issue(), [
        authority,
        other,
      ]);
      expect(await answers(b, a)).toEqual(true);
      files.writeAuthorities(authority);
      await eventually(
        async () => !await answers(b, a),
        "the withdrawn authority is rejected",
        8_000,
      );
      expect(await answers(a, b)).toEqual(false);
    });

    it("stay in use while the new files don't fit together, and give way once they do", async () => {
      const first = await authority.issue();
      const { peers: a, files } = await startPeers("a", first);
      const { peers: b } = await startPeers("b", await authority.issue());
      const probe = await authority.issue();
      const renewed = await authority.issue();
      writeFileSync(files.certificate, renewed.certificate);
      const until = clock.now() + 3_000;
      while (clock.now() < until) {
        expect(await answers(a, b)).toEqual(true);
        expect(await answers(b, a)).toEqual(true);
        expect(await shownSerial(a.port, probe)).toEqual(first.serial);
        await new Promise((resolve) => setTimeout(resolve, 100));
      }
      writeFileSync(files.key, renewed.key);
      await eventually(
        async () => await shownSerial(a.port, probe) === renewed.serial,
        "the new certificate is shown",
        8_000,
      );
      expect(await answers(a, b)).toEqual(true);
    });
  });

  describe("for callers", () => {
    it("are replaced once certificate and key fit together; what can't be used is logged", async () => {
      const files = new CertificateFolder(folder, "callers");
      const first = await authority.issue();
      const renewed = await authority.issue();
      files.write(first);
      const lines: unknown[] = [];
      const log = {
        write: (_: unknown, fields: unknown) => lines.push(fields),
      } as unknown as EventLog;
      const certificate = new CallerCertificate({
        certificate: files.certificate,
        key: files.key,
        checkInterval: 0,
        log,
      });
      writeFileSync(files.certificate, renewed.certificate);
      expect(String(certificate.current().cert)).toEqual(first.certificate);
      expect(String(certificate.current().key)).toEqual(first.key);
      expect(lines.length).toEqual(1);
      const { mtime } = statSync(files.certificate);
      writeFileSync(files.key, renewed.key);
      // Both files may have changed within one tick of the file system's clock.
      utimesSync(files.key, mtime, mtime);
      expect(String(certificate.current().cert)).toEqual(renewed.certificate);
      expect(String(certificate.current().key)).toEqual(renewed.key);
    });
  });
});
