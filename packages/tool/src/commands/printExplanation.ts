import type { KeyExplanation } from "@arbutusdoor/configuration";

type Keyed = Extract<KeyExplanation, { kind: "keyed"; }>;

const ORIGINS = {
    route: "an operator's route",
    hotKey: "a slice of its own",
    range: "its hash range",
} as const;

/** Formats an explanation of a key as readable lines. */
export function printExplanation(explanation: KeyExplanation): string[] {
    switch (explanation.kind) {
        case "keyed":
            return printKeyed(explanation);
        case "pooled":
            return [
                `${explanation.service} is pooled: any of ${explanation.servers.join(", ")} takes a request`,
                ...explanation.reasons.map(reason => `  ${reason}`),
            ];
        case "unknownService":
            return ["the service is not declared"];
        case "unavailable":
            return [explanation.reason];
    }
}

function printKeyed(explanation: Keyed): string[] {
    const { dataCentre, generation, grantors, incarnation, key, origin, server, service, slice, state } =
        explanation;
    const owner = server ? `${server} (incarnation ${incarnation ?? "unknown"})` : "nobody";
    return [
        `${service} ${key}: ${state}, owner ${owner}`,
        `  slice ${slice} by ${ORIGINS[origin]}, hash ${explanation.hash}, generation ${
            generation ?? "none"
        }`,
        `  data centre ${dataCentre ?? "unknown"}, grantors ${grantors.join(" ") || "none"}`,
        ...explanation.reasons.map(reason => `  ${reason}`),
    ];
}
