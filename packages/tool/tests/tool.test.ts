import { type Declaration, printDeclaration } from "@arbutusdoor/configuration";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createTestDeclaration } from "../../configuration/tests/createTestDeclaration.js";
import { FakeOperatorContext } from "../../daemon/tests/operator/fakeOperatorContext.js";
import { EXIT_CODES } from "../src/exitCodes.js";
import { runTool } from "../src/runTool.js";
import { ToolHarness } from "./toolHarness.js";

const NEVER_ANSWERED = new Promise<never>(() => undefined);
const ABSENT_ADDRESS = "127.0.0.1:9";

let folder: string;
let harness: ToolHarness;
let otherServer: Server | undefined;

beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "arbutusdoor-"));
    harness = new ToolHarness();
});

afterEach(async () => {
    await harness.close();
    otherServer?.closeAllConnections();
    otherServer?.close();
    otherServer = undefined;
    await rm(folder, { recursive: true });
});

async function write(name: string, declaration: Declaration): Promise<string> {
    const file = join(folder, name);
    await writeFile(file, printDeclaration(declaration));
    return file;
}

async function matchGolden(name: string): Promise<void> {
    await expect(harness.print(`${folder}/`)).toMatchFileSnapshot(`golden/${name}.txt`);
}

test("init and check need no host", async () => {
    const file = join(folder, "declaration.json");
    const broken = join(folder, "broken.json");
    const { services, ...rest } = createTestDeclaration();
    await writeFile(broken, JSON.stringify({ ...rest, services, dataCentres: ["south"] }));
    const garbled = join(folder, "garbled.json");
    await writeFile(garbled, "{");
    await harness.run("init", file);
    await harness.run("init", file);
    await harness.run("init", file, "--sample", "lima", "--force");
    await harness.run("init", file, "--sample", "quito");
    await harness.run("init", join(folder, "absent", "declaration.json"));
    await harness.run("check", file);
    await harness.run("check", broken);
    await harness.run("check", broken, "--json");
    await harness.run("check", garbled);
    await harness.run("check", join(folder, "absent.json"));
    await matchGolden("local");
});

test("wrong use is reported in one sentence", async () => {
    const file = await write("declaration.json", createTestDeclaration());
    await harness.run();
    await harness.run("fly");
    await harness.run("status");
    await harness.run("check");
    await harness.run("check", file, "--token", "secret");
    await harness.run("submit", file);
    await harness.run("submit", file, "--base", "one");
    await harness.run("status", "--host", "not a host");
    await harness.run("status", "--timeout", "0");
    await harness.run("attest-lost", "--server", "board-1");
    await harness.run("attest-lost", "--server", "s", "--incarnation", "i", "--data-centre", "d");
    await harness.run("attest-lost", "--entry-host", "Host", "--incarnation", "i");
    harness.token = undefined;
    await harness.run("status", "--host", ABSENT_ADDRESS);
    await matchGolden("usage");
});

test("help lists every command, the environment and the exit codes", async () => {
    const print = vi.spyOn(console, "info").mockImplementation(() => undefined);
    await harness.run("--help");
    await harness.run("submit", "--help");
    const text = print.mock.calls.flat().join("\n").replace(/ +$/gm, "");
    print.mockRestore();
    await expect(text).toMatchFileSnapshot("golden/help.txt");
    const page = await readFile(new URL("../README.md", import.meta.url), "utf8");
    for (const { code, text: meaning } of Object.values(EXIT_CODES)) {
        expect(page).toContain(`| ${code}    | ${meaning}`);
    }
});

test("submit, diff and drain over several versions", async () => {
    await harness.start(new FakeOperatorContext());
    const first = await write("first.json", createTestDeclaration(1_000));
    const second = await write("second.json", createTestDeclaration(2_000));
    await harness.run("drain", "board-2");
    await harness.run("diff", first);
    await harness.run("submit", first, "--base", "0");
    await harness.run("diff", first);
    await harness.run("diff", second);
    await harness.run("diff", second, "--json");
    await harness.run("submit", second, "--base", "0");
    await harness.run("submit", second, "--base", "0", "--json");
    await harness.run("submit", first, "--base", "0");
    await harness.run("submit", second, "--base", "1", "--json");
    await harness.run("drain", "board-9");
    await harness.run("drain", "board-1");
    await harness.run("drain", "board-2");
    await harness.run("drain", "board-2");
    await matchGolden("submissions");
});

test("status, explain, attest-lost and watch", async () => {
    const context = new FakeOperatorContext();
    await harness.start(context);
    const file = await write("declaration.json", createTestDeclaration());
    await harness.run("status");
    await harness.run("status", "--wait", "--timeout", "300");
    await harness.run("submit", file, "--base", "0");
    await harness.run("status");
    context.otherHosts = { "host-b": 0, "host-c": 1 };
    await harness.run("status", "--wait", "--timeout", "600");
    await harness.run("status", "--wait", "--timeout", "600", "--json");
    setTimeout(() => context.otherHosts = { "host-b": 1, "host-c": 1 }, 50);
    await harness.run("status", "--wait");
    await harness.run("explain", "bord", "beach");
    context.explanation = {
        kind: "keyed",
        service: "board",
        key: "beach",
        hash: 7,
        slice: "s-1",
        origin: "route",
        state: "held",
        server: "board-1",
        incarnation: "i-1",
        generation: 4,
        dataCentre: "north",
        grantors: ["host-a"],
        reasons: ["an operator routes the key to board-1"],
    };
    await harness.run("explain", "board", "beach");
    await harness.run("explain", "board", "beach", "--json");
    await harness.run("attest-lost", "--server", "board-1", "--incarnation", "007");
    await harness.run("attest-lost", "--data-centre=north", "--by", "warden", "--json");
    await harness.run("attest-lost", "--entry-host", "host-b", "--incarnation", "host-b-1");
    const emitting = setInterval(
        () => context.emit({ at: 0, event: "moveBegun", fields: { slice: "s-1" } }),
        5,
    );
    await harness.run("watch", "--count", "2");
    await harness.run("watch", "--count", "1", "--json");
    clearInterval(emitting);
    await matchGolden("operations");
});

test("watch reports a host that stops during the stream", async () => {
    const context = new FakeOperatorContext();
    const server = await harness.start(context);
    const watching = harness.run("watch");
    await vi.waitUntil(() => context.watcherCount === 1);
    const closing = server.close();
    await watching;
    await closing;
    expect(harness.print(folder).replace(/^20.*Z/m, "<time>")).toMatchInlineSnapshot(`
      "$ arbutusdoor watch
      <time> hostStopping
      ! host-a ended the stream after 1 events
      exit 4
      "
    `);
});

test("an unreachable host and a wrong token are reported with their reason", async () => {
    harness.addAbsent("absent-host", ABSENT_ADDRESS);
    const file = await write("declaration.json", createTestDeclaration());
    for (
        const command of [["status"], ["watch"], ["diff", file], ["submit", file, "--base", "0"], [
            "drain",
            "s",
        ]]
    ) {
        await harness.run(...command);
    }
    await harness.run("status", "--wait", "--timeout", "300");
    await harness.run("submit", file, "--base", "0", "--json");
    const context = new FakeOperatorContext();
    await harness.start(context);
    await harness.run("submit", file, "--base", "0");
    harness.token = "wrong";
    for (const command of [["status"], ["watch"], ["submit", file, "--base", "1"], ["status", "--wait"]]) {
        await harness.run(...command);
    }
    await matchGolden("unreachable");
});

test("without an answer, reads time out and operations have an unknown outcome", async () => {
    await startOtherServer(() => undefined);
    const file = await write("declaration.json", createTestDeclaration());
    await harness.run("status", "--timeout", "100");
    await harness.run("watch", "--timeout", "100");
    await harness.run("submit", file, "--base", "0", "--timeout", "100");
    await harness.run("attest-lost", "--data-centre", "north", "--timeout", "100", "--json");
    await matchGolden("slow");
});

test("an answer that is not JSON is reported as such", async () => {
    await startOtherServer(response => response.end("<html>"));
    const file = await write("declaration.json", createTestDeclaration());
    await harness.run("status");
    await harness.run("submit", file, "--base", "0");
    await matchGolden("strange");
});

test("after a lost answer, the next host returns the recorded outcome or runs the operation", async () => {
    const lossy = new FakeOperatorContext("lossy-host");
    await harness.start(lossy);
    await harness.start(new FakeOperatorContext("other-host", lossy.store));
    const first = await write("first.json", createTestDeclaration(1_000));
    const second = await write("second.json", createTestDeclaration(2_000));
    const third = await write("third.json", createTestDeclaration(3_000));
    lossy.onSubmitted = () => NEVER_ANSWERED;
    await harness.run("submit", first, "--base", "0", "--timeout", "200");
    lossy.onSubmitted = undefined;
    lossy.onSubmit = () => NEVER_ANSWERED;
    await harness.run("submit", second, "--base", "1", "--timeout", "200");
    await harness.run("submit", third, "--base", "1", "--timeout", "200");
    lossy.onSubmit = async () => ({ kind: "unknown", reason: "the table service gave no answer" });
    await harness.run("submit", third, "--base", "2");
    expect([...lossy.store.recorded]).toEqual([["operation-1", 1], ["operation-2", 2], ["operation-4", 3]]);
    await matchGolden("lostAnswers");
});

test("an outcome that no host can return is unknown; a refusal before the operation began is not", async () => {
    const host = new FakeOperatorContext();
    await harness.start(host);
    const file = await write("declaration.json", createTestDeclaration());
    const refuse = vi.fn(async () => ({ kind: "notRun", reason: "the table service is out" }) as const);
    host.onSubmit = refuse;
    await harness.run("submit", file, "--base", "0");
    expect(refuse).toHaveBeenCalledOnce();
    host.onSubmit = async () => ({ kind: "unknown", reason: "the table service gave no answer" });
    await harness.run("submit", file, "--base", "0");
    host.onSubmit = () => Promise.reject(new Error("a fault"));
    await harness.run("submit", file, "--base", "0");
    let calls = 0;
    host.onSubmit = async () =>
        calls++ === 0 ? { kind: "unknown", reason: "no answer" } : { kind: "invalid", problems: [] };
    await harness.run("submit", file, "--base", "0");
    calls = 0;
    host.onSubmit = async () =>
        calls++ === 0 ? { kind: "unknown", reason: "no answer" } : { kind: "conflict", currentVersion: 0 };
    await harness.run("submit", file, "--base", "1");
    await matchGolden("unknown");
});

test("the token is never printed", async () => {
    const lines: string[] = [];
    const print = (line: string) => void lines.push(line);
    const token = "a-very-secret-token";
    await runTool(["status", "--host", ABSENT_ADDRESS, "--json"], {
        environment: { ARBUTUSDOOR_TOKEN: token },
        terminal: { print, printError: print },
        clock: new (await import("@arbutusdoor/common")).SystemClock(),
        createOperationId: () => "o" as never,
    });
    expect(lines.join("\n")).not.toContain(token);
});

async function startOtherServer(answer: (response: { end: (text: string) => void; }) => void): Promise<void> {
    otherServer = createServer((_, response) => answer(response));
    await new Promise<void>(resolve => otherServer!.listen(0, "127.0.0.1", resolve));
    harness.addAbsent("stray-host", `127.0.0.1:${(otherServer.address() as AddressInfo).port}`);
}
