/** Reply of an action: the JSON `body` of a success, or a problem with its own members. */
export type OperatorReply =
    | { readonly kind: "answer"; readonly body: object; }
    | {
        readonly kind: "problem";
        readonly status: number;
        readonly title: string;
        readonly detail?: string;
        /** Further members of the problem body, such as a typed outcome. */
        readonly members?: object;
    };
