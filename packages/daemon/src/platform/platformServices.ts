import type { BackendTraffic, HostList, ObjectStore, ServerOrders, TableService } from "@arbutusdoor/clients";
import { ServiceToken } from "../kernel/serviceToken.js";

/** Clients of the outside systems for the other plug-ins. */
export const PLATFORM = {
    TABLE: new ServiceToken<TableService>("platform.table"),
    OBJECTS: new ServiceToken<ObjectStore>("platform.objects"),
    HOSTS: new ServiceToken<HostList>("platform.hosts"),
    ORDERS: new ServiceToken<ServerOrders>("platform.orders"),
    TRAFFIC: new ServiceToken<BackendTraffic>("platform.traffic"),
} as const;
