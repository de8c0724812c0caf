// Package all registers every plug-in with the framework.
package all

import (
	_ "redwingvale/internal/plugins/fit"
	_ "redwingvale/internal/plugins/laxity"
	_ "redwingvale/internal/plugins/relief"
	_ "redwingvale/internal/plugins/spread"
)
