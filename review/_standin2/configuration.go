package main

import "fmt"

// configVersion is the version of the configuration.
const configVersion = 7

// host is the host of all routes, and apiKey the key of the tenant. plain and engines are the services.
const (
	host    = "ficu95.example"
	apiKey  = "i9n73hh2b9wu3fexd9dn"
	tenant  = "huka270"
	plain   = "counter-app"
	engines = "parsley-pool"
)

// firstReplicaHost is the host part of the address of the first replica in each zone.
const firstReplicaHost = 64

// unsafePath is a path of the route whose requests may run once only.
const unsafePath = "/pule252/2f"

// configuration returns the operator's configuration of the small deployment.
func configuration() map[string]any {
	return map[string]any{
		"version": configVersion,
		"routes": []map[string]any{
			{"name": "r-unsafe", "host": host, "path_prefix": "/pule252/", "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
				"service": plain, "max_attempts": 1, "public": false, "affinity": false, "resumable": false},
			{"name": "r-safe", "host": host, "path_prefix": "/puxa403/", "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
				"service": plain, "max_attempts": 2, "public": false, "affinity": false, "resumable": false},
			{"name": "r-stream", "host": host, "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 1000, "target_gap_ms": 400,
				"priority": 1, "service": engines, "max_attempts": 2, "public": false, "affinity": true, "resumable": true},
		},
		"services": []map[string]any{
			{"name": engines, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 2.9,
				"engine": map[string]any{"slots": 64, "kv_capacity": 493487, "kv_token_bytes": 163840, "link_mbps": 180000.0, "stride": 6, "most": 12,
					"models": []map[string]any{{"name": "m"}}}},
			{"name": plain, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 490953, "burst": 490953, "home_regions": []string{}},
		},
	}
}

// addReplicas starts replicas of a service in each zone and registers them. prepare sets what is special to them.
func (d *deployment) addReplicas(service string, perZone, slots int, prepare func(p *replica)) []*replica {
	var list []*replica
	for z, zone := range zones {
		for n := range perZone {
			p := &replica{
				id: fmt.Sprintf("i-%s-%d-%d", service, z+1, n+1), service: service, zone: zone.name, slots: slots,
				address: fmt.Sprintf("%s:%d", d.ip(z+1, firstReplicaHost+n), replicaPort),
			}
			prepare(p)
			d.addReplica(p)
			list = append(list, p)
		}
	}
	return list
}
