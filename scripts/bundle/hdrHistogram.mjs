// The part of the library that the program uses: the library's index also builds its log writer and its encoders.
export { build } from "hdr-histogram-js/dist/HistogramBuilder.js";
