package operator

import (
	"flag"

	"parsleyhatch/edge"
)

// clientFlags defines the flags for the limits on callers' connections and bodies at a VM, and returns the limits that they set.
func clientFlags(fs *flag.FlagSet) *edge.ClientLimits {
	l := edge.DefaultClientLimits()
	fs.IntVar(&l.MaxConnections, "max-caller-connections", l.MaxConnections,
		"maximum number of callers' connections; 0 means as many as the memory and the descriptors of the machine allow, which is also the upper bound")
	fs.Float64Var(&l.AddressShare, "caller-address-share", l.AddressShare, "share of callers' connections that one address may have")
	fs.Float64Var(&l.HeadMemoryShare, "caller-head-memory-share", l.HeadMemoryShare,
		"share of the machine's memory for header sections that are not complete")
	fs.Int64Var(&l.MinBodyRate, "min-body-rate", l.MinBodyRate,
		"rate in bytes per second below which a body is refused while the memory for bodies is short; 0 disables the limit")
	return &l
}
