package soak

import (
	"time"

	"parsleyhatch/standin/faultlink"
)

// callerLinkFaults are the faults of the links between callers and VMs. Those that discard data are the most frequent ones, since
// the VM goes on writing while the caller resumes its stream elsewhere.
var callerLinkFaults = []faultlink.Fault{faultlink.DropsAll, faultlink.DropsRequests, faultlink.DropsResponses, faultlink.Silent, faultlink.Delayed, faultlink.Reset}

// openCallerLink opens the link between callers and the VM.
func (v *vmProcess) openCallerLink() error {
	hasNoPower := func([]byte, bool) (time.Duration, bool) { return 0, v.dark.Load() }
	var err error
	v.callerLink, err = faultlink.Listen("127.0.0.1:0", faultlink.Settings{
		Target: v.callerAddress, HoldsCloses: true, NewRewrite: func() faultlink.RewriteFunc { return hasNoPower },
	})
	return err
}
