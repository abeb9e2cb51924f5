import {
    type Declaration,
    newAqabaDeclaration,
    newLimaDeclaration,
    printDeclaration,
} from "@arbutusdoor/configuration";
import type { LocalSystem } from "./localSystem.js";

/** Servers of one service of a local system. */
type LocalService = {
    readonly service: string;
    readonly dataCentres: readonly string[];
    readonly slots?: number;
};

/** A declaration with the services of both samples, served by backend servers of a local system. */
export function newLocalDeclaration(system: LocalSystem, services: readonly LocalService[]): string {
    const samples = [newAqabaDeclaration(), newLimaDeclaration()];
    const declared = samples.flatMap(sample => sample.services);
    const servers: Declaration["servers"] = services.flatMap(({ service, dataCentres, slots }) =>
        dataCentres.map((dataCentre, index) => {
            const name = `${service}-${index + 1}`;
            return {
                name,
                dataCentre,
                service,
                address: system.servers.get(name)!.address,
                slots: slots ?? 4,
                connections: 50,
                checksOrders: true,
                isDraining: false,
            };
        })
    );
    const names = new Set(services.map(({ service }) => service));
    return printDeclaration({
        format: 1,
        tenant: "local",
        dataCentres: [...new Set(services.flatMap(service => service.dataCentres))],
        services: declared.filter(({ name }) => names.has(name)).map(service => ({ ...service, routes: [] })),
        servers,
    });
}
