import {
    checkDeclaration,
    createConfigurationVersion,
    reconcileConfiguration,
} from "@arbutusdoor/configuration";
import { deflateRawSync } from "node:zlib";
import { newClusterDeclaration } from "../cluster/newClusterDeclaration.js";
import { measureHeap } from "../measure/measureHeap.js";
import { scaleSizes } from "../measure/scaleSizes.js";
import { timeCall } from "../measure/timeCall.js";
import { STUDIES } from "../studies.js";

const SERVERS_PER_SERVICE = 50;

STUDIES.register({
    name: "configuration-by-servers",
    question: "A declaration against its servers, with one service for each 50.",
    axis: "servers",
    run: options => scaleSizes([500, 1_000, 2_000, 4_000], options).map(measureDeclaration),
});

function measureDeclaration(servers: number): Readonly<Record<string, number>> {
    const services = Math.max(1, Math.round(servers / SERVERS_PER_SERVICE));
    const { value: declaration, bytes } = measureHeap(() =>
        newClusterDeclaration(servers, servers * 8, services)
    );
    const version = createConfigurationVersion(2, declaration);
    const json = JSON.parse(version.body) as unknown;
    return {
        servers,
        "text bytes": version.body.length,
        "deflated bytes": deflateRawSync(version.body).length,
        "memory KB": bytes / 1_024,
        "check us": timeCall(() => checkDeclaration(json)),
        "print and digest us": timeCall(() => createConfigurationVersion(2, declaration)),
        "adopt us": timeCall(() => reconcileConfiguration(undefined, version)),
    };
}
