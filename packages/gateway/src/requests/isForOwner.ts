import type { GatewayRequest } from "./gatewayRequest.js";

/** Whether only the owner of the request's key may run it. */
export function isForOwner({ key, service }: GatewayRequest): boolean {
    return service.isKeyed && key !== undefined;
}
