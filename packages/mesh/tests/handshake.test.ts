import { expect, test } from "vitest";
import { MeshSimulation } from "./helpers/meshSimulation.js";

test("when both hosts dial at once, one link stays", async () => {
    const simulation = new MeshSimulation();
    const a = await simulation.start("a", { seeds: ["b:1"] });
    const b = await simulation.start("b", { seeds: ["a:1"] });
    await simulation.advance(300);
    expect([...a.mesh.listPeers(), ...b.mesh.listPeers()].map(peer => peer.host)).toEqual(["b", "a"]);
    await expect(simulation.trace).toMatchFileSnapshot("golden/bothDial.txt");
});

test("another protocol version is refused at both ends without a burst of attempts", async () => {
    const simulation = new MeshSimulation();
    simulation.network.fault = (from, _to, bytes) => {
        const isHandshake = from === "b" && bytes[0] === "{".charCodeAt(0);
        const message = Buffer.from(bytes).toString().replace("\"protocol\":1", "\"protocol\":2");
        return [isHandshake ? Buffer.from(message) : bytes];
    };
    const a = await simulation.start("a", { seeds: ["b:1"] });
    const b = await simulation.start("b");
    await simulation.advance(5_000);
    expect([...a.mesh.listPeers(), ...b.mesh.listPeers()]).toEqual([]);
    await expect(simulation.trace).toMatchFileSnapshot("golden/wrongVersion.txt");
});

test.each([
    ["wrongSecret", { secret: "one" }, { secret: "other" }],
    ["wrongCluster", {}, { settings: { cluster: "another" } }],
])("%s is refused at both ends", async (name, options, otherOptions) => {
    const simulation = new MeshSimulation();
    await simulation.start("a", { seeds: ["b:1"], ...options });
    const b = await simulation.start("b", otherOptions);
    await simulation.advance(1_000);
    expect(b.mesh.listPeers()).toEqual([]);
    await expect(simulation.trace).toMatchFileSnapshot(`golden/${name}.txt`);
});

test("hosts with the same secret open a link", async () => {
    const simulation = new MeshSimulation();
    const a = await simulation.start("a", { seeds: ["b:1"], secret: "one" });
    await simulation.start("b", { secret: "one" });
    await simulation.advance(100);
    expect(a.mesh.listPeers()).toHaveLength(1);
});

test("a restarted host replaces its older incarnation, which cannot reconnect", async () => {
    const simulation = new MeshSimulation();
    await simulation.start("a");
    await simulation.start("b", { seeds: ["a:1"] });
    await simulation.advance(100);
    simulation.record("b restarts at the same address; its older run lives on");
    await simulation.start("b", { seeds: ["a:1"], incarnation: "b2" });
    await simulation.advance(200);
    await expect(simulation.trace).toMatchFileSnapshot("golden/restart.txt");
});

test("a link that one end lost is replaced at once", async () => {
    const simulation = new MeshSimulation();
    await simulation.start("a");
    const b = await simulation.start("b", { seeds: ["a:1"] });
    await simulation.advance(100);
    simulation.record("b loses the link, a does not notice");
    simulation.network.dropAt("b", "a");
    await simulation.advance(100);
    expect(b.mesh.listPeers()).toHaveLength(1);
    await expect(simulation.trace).toMatchFileSnapshot("golden/lostAtOneEnd.txt");
});

test("an unresponsive link is lost after the heartbeat timeout and is re-established", async () => {
    const simulation = new MeshSimulation();
    await simulation.start("a", { seeds: ["b:1"] });
    await simulation.start("b", { seeds: ["a:1"] });
    await simulation.advance(100);
    simulation.record("nothing arrives any more");
    simulation.network.fault = () => [];
    await simulation.advance(600);
    simulation.record("all arrives again");
    simulation.network.fault = (_from, _to, bytes) => [bytes];
    await simulation.advance(1_500);
    await expect(simulation.trace).toMatchFileSnapshot("golden/heartbeatsLost.txt");
});

test("a malformed frame closes the link and nothing else", async () => {
    const simulation = new MeshSimulation();
    const a = await simulation.start("a", { seeds: ["b:1"] });
    await simulation.start("b");
    await simulation.advance(100);
    simulation.network.fault = (_from, _to, bytes) => [bytes[0] === 0x92 ? Buffer.from([0x92, 0x01]) : bytes];
    a.mesh.broadcast({ hello: "world" });
    await simulation.advance(2);
    simulation.network.fault = (_from, _to, bytes) => [bytes];
    await simulation.advance(200);
    expect(a.mesh.broadcast({ hello: "again" })).toBe(1);
    await simulation.advance(2);
    await expect(simulation.trace).toMatchFileSnapshot("golden/malformedFrame.txt");
});

test("queued control messages are bounded while the socket accepts nothing", async () => {
    const simulation = new MeshSimulation();
    const settings = { maxQueuedControl: 8, socketBufferBytes: 1_024 };
    const a = await simulation.start("a", { seeds: ["b:1"], settings });
    await simulation.start("b");
    await simulation.advance(100);
    const [peer] = a.mesh.listPeers();
    simulation.network.hold("a", "b");
    a.mesh.send(peer!.host, "x".repeat(2_000));
    await simulation.settle();
    const queued = Array.from({ length: 10 }, () => a.mesh.send(peer!.host, "small"));
    expect(queued.filter(Boolean)).toHaveLength(8);
    expect(a.mesh.send(peer!.host, "y".repeat(2_000_000))).toBe(false);
    simulation.network.release("a", "b");
    await simulation.advance(5);
    expect(a.mesh.send(peer!.host, "small")).toBe(true);
});
