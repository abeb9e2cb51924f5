import "./ownershipStudies.js";
import "./deciderStudies.js";
import "./configurationStudies.js";
