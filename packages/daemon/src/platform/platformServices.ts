import type { BackendTraffic, HostList, ObjectStore, ServerOrders, TableService } from "@arbutusdoor/clients";
import { Service } from "../kernel/service.js";

/** The outside systems, as other plug-ins see them. */
export const PLATFORM = {
    TABLE: new Service<TableService>("platform.table"),
    OBJECTS: new Service<ObjectStore>("platform.objects"),
    HOSTS: new Service<HostList>("platform.hosts"),
    ORDERS: new Service<ServerOrders>("platform.orders"),
    TRAFFIC: new Service<BackendTraffic>("platform.traffic"),
} as const;
