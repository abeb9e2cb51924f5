import "./ownershipStudies.js";
import "./deciderStudies.js";
import "./configurationStudies.js";
import "./balanceStudies.js";
import "./meshStudies.js";
import "./intentStudies.js";
