package soak

import (
	"bytes"
	"encoding/json"
	"os"
)

// Events of docs/EVENTS.md that say what content a VM has of the configuration.
const (
	eventRoutingInForce = 305
	eventConfigDiffers  = 317
)

// checkContents compares, by the logs of the VMs, the content that each of them has had of each version of the configuration.
func (h *harness) checkContents() {
	type holder struct{ vm, digest string }
	first := map[uint64]holder{}
	for _, v := range h.vms {
		text, err := os.ReadFile(h.logPath(v.name))
		if err != nil {
			h.t.Error(err)
			continue
		}
		for line := range bytes.Lines(text) {
			e := struct {
				Event   int    `json:"event"`
				Version uint64 `json:"version"`
				Digest  string `json:"digest"`
			}{}
			if json.Unmarshal(line, &e) != nil || e.Digest == "" {
				continue
			}
			if e.Event == eventConfigDiffers {
				h.reportViolation("contents", "%s had version %d with a content of its own", v.name, e.Version)
			}
			if e.Event != eventRoutingInForce {
				continue
			}
			if other, ok := first[e.Version]; ok && other.digest != e.Digest {
				h.reportViolation("contents", "%s and %s have version %d with different contents", other.vm, v.name, e.Version)
			}
			first[e.Version] = holder{
				vm:     v.name,
				digest: e.Digest,
			}
		}
	}
	if len(first) == 0 {
		h.reportViolation("contents", "no VM has logged the content of a version")
	}
}
