package main

import "fmt"

const (
	modelService = "waxwing-models"
	tenantName   = "tenant-a"
	tenantKey    = "key-of-tenant-a"
	// ampleTokens is a total that no case uses up.
	ampleTokens = 4_000_000_000
	// stride is the number of tokens in one event.
	stride = 6
)

// newManifest returns a manifest with the model service of a small deployment.
func newManifest(version int, prepaid int64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-digest", "host": "app.example", "path_prefix": "/digest/", "type": "streaming", "timeout_ms": 8000,
				"slo_ms": 600, "priority": 1, "service": modelService, "max_attempts": 1, "public": false, "sticky": true,
				"resumable": false, "gap_slo_ms": 400,
			},
			map[string]any{
				"name": "r-frost", "host": "app.example", "path_prefix": "/frost/", "type": "streaming", "timeout_ms": 4000,
				"slo_ms": 600, "priority": 0, "service": modelService, "max_attempts": 2, "public": false, "sticky": true,
				"resumable": true, "gap_slo_ms": 400,
			},
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
				"runtime": map[string]any{
					"slots": 64, "kv_capacity_tokens": 400351, "kv_bytes": 327680, "link_mbps": 250000.0, "moves": true, "backups": true,
					"stride": stride, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": tenantName, "api_keys": []any{tenantKey}, "priority": 1, "prepaid": prepaid,
		}},
	}
}

// newRunners starts runners of a service in all zones. Those from index newer on have version v2 of the software.
func newRunners(log *record, spec runnerSpec, count, newer int) ([]*runner, error) {
	var runners []*runner
	for i := range count {
		version := "v1"
		if i >= newer {
			version = "v2"
		}
		r, err := startRunner(log, spec, fmt.Sprintf("%s-%d", spec.service, i+1), fmt.Sprintf("zone-%c", 'a'+i%zoneCount), version)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	return runners, nil
}

// modelSpec is the specification of model runners.
func modelSpec(work func(*run)) runnerSpec {
	return runnerSpec{
		service: modelService,
		slots:   64,
		work:    work,
	}
}
