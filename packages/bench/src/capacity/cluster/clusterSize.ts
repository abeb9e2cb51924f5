/** Size of a cluster as one entry host sees it. */
export type ClusterSize = {
    /** Entry hosts to which this one has links; all in its data centre. */
    readonly peers: number;
    readonly servers: number;
    readonly slices: number;
    /** Servers that this host is grantor of. */
    readonly granted: number;
    readonly slicesPerShard: number;
};
