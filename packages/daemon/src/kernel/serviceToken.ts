/** Typed key of a service that one plug-in provides to the others. */
export class ServiceToken<Value> {
    readonly name: string;
    /** Makes the type parameter part of the class's type; never set. */
    declare readonly value: Value;

    constructor(name: string) {
        this.name = name;
    }
}
