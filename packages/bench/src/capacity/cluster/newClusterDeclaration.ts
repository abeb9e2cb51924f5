import { Declaration } from "@arbutusdoor/configuration";

const OCTET = 256;

/** A declaration of `services` services, keyed alike, with as many servers in all in one data centre. */
export function newClusterDeclaration(servers: number, slices: number, services = 1): Declaration {
    const names = [...Array(services).keys()].map(index => `board-${index}`);
    return Declaration.parse({
        format: 1,
        tenant: "capacity",
        dataCentres: ["centre-0", "centre-1"],
        services: names.map(name => ({
            name,
            kind: "keyed",
            classes: [{
                name: "read",
                methods: ["GET"],
                isIdempotent: true,
                deadlineMs: 1_000,
                priority: 20,
            }],
            slices: Math.ceil(slices / services),
        })),
        servers: [...Array(servers).keys()].map(index => ({
            name: `server-${index}`,
            dataCentre: "centre-0",
            service: names[index % services],
            address: newAddress(index),
        })),
    });
}

function newAddress(index: number): string {
    return `10.${Math.floor(index / OCTET ** 2)}.${Math.floor(index / OCTET) % OCTET}.${index % OCTET}:8080`;
}
