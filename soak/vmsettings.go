package soak

import "fmt"

// settings returns the lines of the settings file that are the same for all VMs.
func (d *deployment) settings() []string {
	b := &d.Bounds
	lines := []string{
		fmt.Sprintf("limits.memory_mb=%d", d.VM.MemoryMB), fmt.Sprintf("limits.cpu_share=%g", d.VM.ProcessorShare), "limits.cores=1", "limits.link_mbps=1000",
		fmt.Sprintf("bounds.grace_s=%g", b.GraceMillis.duration().Seconds()), fmt.Sprintf("bounds.revoke_ms=%d", b.RevokeMillis),
		fmt.Sprintf("bounds.drain_ms=%d", b.DrainMillis), fmt.Sprintf("bounds.contact_ms=%d", b.ContactMillis),
		fmt.Sprintf("bounds.config_apply_ms=%d", b.ConfigApplyMillis),
		fmt.Sprintf("bounds.retry_budget_ratio=%g", b.RetryRatio), fmt.Sprintf("bounds.retry_budget_slack=%d", b.RetrySlack),
		fmt.Sprintf("bounds.budget_window_s=%g", b.RetryWindowMillis.duration().Seconds()),
		fmt.Sprintf("bounds.warmup_overage=%g", b.WarmUpOverage), fmt.Sprintf("bounds.warmup_slack=%g", b.WarmUpSlack),
		fmt.Sprintf("bounds.ttl_max_s=%g", b.DirectoryTTLMillis.duration().Seconds()),
	}
	for _, region := range d.Regions {
		lines = append(lines, "zones."+region.FailureDomain+"="+region.Name)
	}
	return lines
}
