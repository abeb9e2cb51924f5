import { expect, test } from "vitest";
import { MeshSession } from "./helpers/meshSession.js";

test("both dial at once: one link stays", async () => {
    const session = new MeshSession();
    const a = await session.start("a", { seeds: ["b:1"] });
    const b = await session.start("b", { seeds: ["a:1"] });
    await session.advance(300);
    expect([...a.mesh.listPeers(), ...b.mesh.listPeers()].map(peer => peer.host)).toEqual(["b", "a"]);
    await expect(session.trace).toMatchFileSnapshot("golden/bothDial.txt");
});

test("another protocol version is refused at both ends without a storm of attempts", async () => {
    const session = new MeshSession();
    session.network.fault = (from, _to, bytes) => {
        const isGreeting = from === "b" && bytes[0] === "{".charCodeAt(0);
        const greeting = Buffer.from(bytes).toString().replace("\"protocol\":1", "\"protocol\":2");
        return [isGreeting ? Buffer.from(greeting) : bytes];
    };
    const a = await session.start("a", { seeds: ["b:1"] });
    const b = await session.start("b");
    await session.advance(5_000);
    expect([...a.mesh.listPeers(), ...b.mesh.listPeers()]).toEqual([]);
    await expect(session.trace).toMatchFileSnapshot("golden/wrongVersion.txt");
});

test.each([
    ["wrongSecret", { secret: "one" }, { secret: "other" }],
    ["wrongCluster", {}, { settings: { cluster: "another" } }],
])("%s is refused at both ends", async (name, options, otherOptions) => {
    const session = new MeshSession();
    await session.start("a", { seeds: ["b:1"], ...options });
    const b = await session.start("b", otherOptions);
    await session.advance(1_000);
    expect(b.mesh.listPeers()).toEqual([]);
    await expect(session.trace).toMatchFileSnapshot(`golden/${name}.txt`);
});

test("the same secret links", async () => {
    const session = new MeshSession();
    const a = await session.start("a", { seeds: ["b:1"], secret: "one" });
    await session.start("b", { secret: "one" });
    await session.advance(100);
    expect(a.mesh.listPeers()).toHaveLength(1);
});

test("a restarted host replaces its older run, which cannot come back", async () => {
    const session = new MeshSession();
    await session.start("a");
    await session.start("b", { seeds: ["a:1"] });
    await session.advance(100);
    session.record("b restarts at the same address; its older run lives on");
    await session.start("b", { seeds: ["a:1"], incarnation: "b2" });
    await session.advance(200);
    await expect(session.trace).toMatchFileSnapshot("golden/restart.txt");
});

test("a link that one end lost is replaced at once", async () => {
    const session = new MeshSession();
    await session.start("a");
    const b = await session.start("b", { seeds: ["a:1"] });
    await session.advance(100);
    session.record("b loses the link, a does not notice");
    session.network.dropAt("b", "a");
    await session.advance(100);
    expect(b.mesh.listPeers()).toHaveLength(1);
    await expect(session.trace).toMatchFileSnapshot("golden/lostAtOneEnd.txt");
});

test("a silent link is lost after the heartbeat timeout and comes back", async () => {
    const session = new MeshSession();
    await session.start("a", { seeds: ["b:1"] });
    await session.start("b", { seeds: ["a:1"] });
    await session.advance(100);
    session.record("nothing arrives any more");
    session.network.fault = () => [];
    await session.advance(600);
    session.record("all arrives again");
    session.network.fault = (_from, _to, bytes) => [bytes];
    await session.advance(1_500);
    await expect(session.trace).toMatchFileSnapshot("golden/heartbeatsLost.txt");
});

test("a malformed frame closes the link and nothing else", async () => {
    const session = new MeshSession();
    const a = await session.start("a", { seeds: ["b:1"] });
    await session.start("b");
    await session.advance(100);
    session.network.fault = (_from, _to, bytes) => [bytes[0] === 0x92 ? Buffer.from([0x92, 0x01]) : bytes];
    a.mesh.broadcast({ hello: "world" });
    await session.advance(2);
    session.network.fault = (_from, _to, bytes) => [bytes];
    await session.advance(200);
    expect(a.mesh.broadcast({ hello: "again" })).toBe(1);
    await session.advance(2);
    await expect(session.trace).toMatchFileSnapshot("golden/malformedFrame.txt");
});

test("control messages are bounded while the socket takes nothing", async () => {
    const session = new MeshSession();
    const settings = { maxQueuedControl: 8, socketBufferBytes: 1_024 };
    const a = await session.start("a", { seeds: ["b:1"], settings });
    await session.start("b");
    await session.advance(100);
    const [peer] = a.mesh.listPeers();
    session.network.hold("a", "b");
    a.mesh.send(peer!.host, "x".repeat(2_000));
    await session.settle();
    const taken = Array.from({ length: 10 }, () => a.mesh.send(peer!.host, "small"));
    expect(taken.filter(Boolean)).toHaveLength(8);
    expect(a.mesh.send(peer!.host, "y".repeat(2_000_000))).toBe(false);
    session.network.release("a", "b");
    await session.advance(5);
    expect(a.mesh.send(peer!.host, "small")).toBe(true);
});
