// Package all registers every plug-in with the framework.
package all

import (
	_ "redwingvale/internal/plugins/accelerators"
	_ "redwingvale/internal/plugins/datacentre"
	_ "redwingvale/internal/plugins/fit"
	_ "redwingvale/internal/plugins/headroom"
	_ "redwingvale/internal/plugins/health"
	_ "redwingvale/internal/plugins/interference"
	_ "redwingvale/internal/plugins/laxity"
	_ "redwingvale/internal/plugins/longrun"
	_ "redwingvale/internal/plugins/quota"
	_ "redwingvale/internal/plugins/relief"
	_ "redwingvale/internal/plugins/runtimes"
	_ "redwingvale/internal/plugins/sizes"
	_ "redwingvale/internal/plugins/spread"
)
