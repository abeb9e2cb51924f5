import type { Clock, Logger, Metrics, RandomSource } from "@arbutusdoor/common";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import { OverloadControl } from "../routing/overloadControl.js";
import type { GatewayOptions } from "./gatewayOptions.js";

/** Dependencies of a host's overload control. */
type ControlParts = {
    readonly options: GatewayOptions;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Creates the overload control of a host, which is in effect with `--admission estimates`. */
export function createOverloadControl(
    { clock, logger, metrics, options: { admission }, random }: ControlParts,
    directory: ServerDirectory,
): OverloadControl {
    return new OverloadControl({
        clock,
        random,
        logger,
        metrics,
        directory,
        isOn: () => admission === "estimates",
    });
}
