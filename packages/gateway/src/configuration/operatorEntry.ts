import type { DataCentreId } from "@arbutusdoor/common";
import type { RoutedConfiguration } from "./routedConfiguration.js";

/** A row that the operator has written: the configuration, or a request to send nothing to the servers of a data centre while the row exists. */
export type OperatorEntry =
    | { readonly kind: "configuration"; readonly configuration: RoutedConfiguration; }
    | { readonly kind: "evacuation"; readonly dataCentre: DataCentreId; };
