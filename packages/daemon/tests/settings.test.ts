import { expect, test } from "vitest";
import { readSettings } from "../src/settings/readSettings.js";

const REQUIRED = {
    host: "entry-1",
    dataCentre: "north",
    tableService: "http://127.0.0.1:9001",
    objectStore: "http://127.0.0.1:9002",
    hostList: "http://127.0.0.1:9003",
};
const SECRETS = { ARBUTUSDOOR_OPERATOR_TOKEN: "a-token-of-operators" };

test("a flag takes precedence over its variable, and groups have their own defaults", () => {
    const environment = { ...SECRETS, ARBUTUSDOOR_CALLER_PORT: "1", ARBUTUSDOOR_MESH_CHUNK_BYTES: "2048" };
    const settings = readSettings({ ...REQUIRED, callerPort: "2", ownershipLeaseMs: "700" }, environment);
    expect(settings).toMatchObject({
        callerPort: 2,
        operatorPort: 7081,
        groups: { mesh: { chunkBytes: 2048 }, ownership: { leaseMs: 700, renewIntervalMs: 200 } },
    });
});

test("all invalid settings are reported together, without the value of a secret", () => {
    const flags = {
        ...REQUIRED,
        host: "Entry 1",
        callerPort: "high",
        seeds: "localhost:1",
        meshChunkBytes: "3",
        colour: "red",
        operatorToken: "given-as-a-flag-16",
    };
    expect(() => readSettings(flags, { ARBUTUSDOOR_OPERATOR_TOKEN: "short-secret" }))
        .toThrowErrorMatchingInlineSnapshot(`
          [InputError: settings cannot be taken:
            --colour: no such setting
            --host (ARBUTUSDOOR_HOST): must be 1 to 63 lower-case letters, digits or hyphens
            --caller-port (ARBUTUSDOOR_CALLER_PORT): Invalid input: expected number, received NaN
            --seeds (ARBUTUSDOOR_SEEDS): must be IP numbers with ports, separated by commas
            ARBUTUSDOOR_OPERATOR_TOKEN: must have 16 characters at least
            --mesh-chunk-bytes (ARBUTUSDOOR_MESH_CHUNK_BYTES): Too small: expected number to be >=1024]
        `);
});

test("missing required settings are reported", () => {
    expect(() => readSettings({}, {})).toThrowErrorMatchingInlineSnapshot(`
      [InputError: settings cannot be taken:
        --host (ARBUTUSDOOR_HOST): is required
        --data-centre (ARBUTUSDOOR_DATA_CENTRE): is required
        --table-service (ARBUTUSDOOR_TABLE_SERVICE): is required
        --object-store (ARBUTUSDOOR_OBJECT_STORE): is required
        --host-list (ARBUTUSDOOR_HOST_LIST): is required
        ARBUTUSDOOR_OPERATOR_TOKEN: is required]
    `);
});
