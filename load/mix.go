// Package load sends a mix of requests to a fleet as a caller and audits whether the fleet
// kept its guarantees.
package load

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Mix describes a load.
type Mix struct {
	Note string `json:"note,omitempty"`
	// RatePerSecond is the arrival rate. It does not depend on how fast requests complete.
	RatePerSecond float64 `json:"ratePerSecond"`
	// Workspaces is the number of workspaces that share the load. A "*" in a kind's key
	// is replaced by the workspace's number, from 1.
	Workspaces int `json:"workspaces,omitempty"`
	// Phases change the rate over time. After the last phase, the rate is RatePerSecond.
	Phases []Phase `json:"phases,omitempty"`
	Kinds  []Kind  `json:"kinds"`
}

// Phase multiplies the rate by Factor for Seconds.
type Phase struct {
	Seconds float64 `json:"seconds"`
	Factor  float64 `json:"factor"`
}

// Kind is one kind of request.
type Kind struct {
	Name string `json:"name"`
	// Share is the kind's share of the arrivals, relative to the other kinds.
	Share float64 `json:"share"`
	Key   string  `json:"key"`
	// Model is set for a chat request, Service and Path for a service call.
	Model        string          `json:"model,omitempty"`
	Class        fleet.Class     `json:"class,omitempty"`
	PromptBytes  int             `json:"promptBytes,omitempty"`
	SharedPrefix int             `json:"sharedPrefixBytes,omitempty"`
	AnswerTokens int             `json:"answerTokens,omitempty"`
	MaxTokens    fleet.Tokens    `json:"maxTokens,omitempty"`
	Service      fleet.ServiceID `json:"service,omitempty"`
	Path         string          `json:"path,omitempty"`
	// AtMostOnce is true for calls that must not run twice.
	AtMostOnce bool `json:"atMostOnce,omitempty"`
}

// ReadMix reads a mix from a JSON file that may contain comments.
func ReadMix(path string) (Mix, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Mix{}, eris.Wrap(err, "load: read the mix")
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return Mix{}, eris.Wrapf(err, "load: parse %s", path)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	mix := Mix{}
	if err := decoder.Decode(&mix); err != nil {
		return Mix{}, eris.Wrapf(err, "load: decode %s", path)
	}
	return mix, mix.validate(path)
}

func (m Mix) validate(path string) error {
	if m.RatePerSecond <= 0 || len(m.Kinds) == 0 {
		return eris.Errorf("load: %s: needs a rate above 0 and at least one kind", path)
	}
	for _, k := range m.Kinds {
		if (k.Model == "") == (k.Service == "") || k.Share <= 0 || k.Key == "" {
			return eris.Errorf("load: %s: kind %q needs a share above 0, a key, and either a model or a service", path, k.Name)
		}
	}
	return nil
}

// rateFactor returns the factor by which the rate is multiplied at a time.
func (m Mix) rateFactor(at time.Duration) float64 {
	for _, p := range m.Phases {
		length := time.Duration(p.Seconds * float64(time.Second))
		if at < length {
			return p.Factor
		}
		at -= length
	}
	return 1
}

// prompt returns the prompt of a request. It is unique except for the shared prefix.
func (k Kind) prompt(id fleet.RequestID) string {
	var b strings.Builder
	for b.Len() < k.SharedPrefix {
		b.WriteString("Station log of " + k.Name + ". ")
	}
	text := b.String()[:k.SharedPrefix]
	text += " id=" + id.String() + " length=" + itoa(k.AnswerTokens) + " "
	for len(text) < k.PromptBytes {
		text += "rain wind frost hail snow "
	}
	return text
}
