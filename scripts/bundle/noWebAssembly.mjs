// Takes the place of the histogram library's WebAssembly build, which the program does not ask for.
export const webAssemblyAvailable = false;
