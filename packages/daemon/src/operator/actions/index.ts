import "./attestLostAction.js";
import "./configurationAction.js";
import "./diffAction.js";
import "./drainAction.js";
import "./explainAction.js";
import "./statusAction.js";
import "./submitAction.js";
