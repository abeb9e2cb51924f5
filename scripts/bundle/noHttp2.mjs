// Takes the place of the HTTP/2 client of undici, which the program never uses and which loads the runtime's HTTP/2 module.
export default function connectH2() {
    throw new Error("the bundle has no HTTP/2 client");
}
