const PORT = 8_080;

/**
 * Returns registry entries that describe no usable server of a service, by id: each has one field that is missing, of another type or out
 * of range. Their ids start with `foreign`.
 */
export function listForeignEntries(service: string, dataCentre: string): ReadonlyMap<string, string> {
    const info = { "service": service, "zone": dataCentre, "slots": 4, "config-version": "1" };
    const status = { "state": "ready", "seq": 1, "warmup-left": "0ms" };
    const entry = { address: `127.0.0.1:${PORT}`, born: 1_700_000_000_000, info, status };
    const addresses = [
        "127.1.2.3:70000",
        "300.1.1.1:80",
        "127.0.0.1:080",
        "10.09.0.1:80",
        "127.0.0.1:0",
        "0.0.0.0:80",
        "239.1.2.3:80",
        "127.0.0.1",
        "host:80",
        "",
        [],
        null,
    ];
    const variants = [
        ...addresses.map(address => ({ ...entry, address })),
        { ...entry, born: "1" },
        { ...entry, born: 1e300 },
        { ...entry, info: undefined },
        { ...entry, info: { ...info, service: 7 } },
        { ...entry, info: { ...info, zone: [] } },
        { ...entry, info: { ...info, slots: -1 } },
        { ...entry, info: { ...info, slots: 0.5 } },
        { ...entry, info: { ...info, "config-version": undefined } },
        { ...entry, info: { ...info, "config-version": 1 } },
        { ...entry, status: "ready" },
        { ...entry, status: { ...status, state: "resting" } },
        { ...entry, status: { ...status, "warmup-left": "soon" } },
        { ...entry, status: { ...status, "warmup-left": undefined } },
        { ...entry, status: { ...status, seq: undefined } },
        { ...entry, status: { ...status, seq: "1" } },
    ];
    const texts = [...variants.map(variant => JSON.stringify(variant)), "null", "[]", "{", "\u0000"];
    return new Map([
        ...texts.map((text, index): [string, string] => [`foreign-${service}-${index}`, text]),
        [`foreign ${service} \u2603`, JSON.stringify(entry)],
    ]);
}
