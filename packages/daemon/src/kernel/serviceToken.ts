/** Typed name of something that one plug-in offers to the others. */
export class ServiceToken<Value> {
    readonly name: string;
    /** Ties the type parameter to the class; never set. */
    declare readonly value: Value;

    constructor(name: string) {
        this.name = name;
    }
}
