// Package load sends the requests of a mix to a fleet, as callers would, and audits
// from outside whether the fleet kept its word.
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

// Mix is a load read from a data file.
type Mix struct {
	Note string `json:"note,omitempty"`
	// RatePerSecond is the rate of arrivals, whatever becomes of them.
	RatePerSecond float64 `json:"ratePerSecond"`
	// Workspaces is how many workspaces share the load. A "*" in a kind's key
	// stands for the workspace's number, from 1.
	Workspaces int `json:"workspaces,omitempty"`
	// Phases change the rate over time; without any it stays the same.
	Phases []Phase `json:"phases,omitempty"`
	Kinds  []Kind  `json:"kinds"`
}

// Phase multiplies the rate for a time.
type Phase struct {
	Seconds float64 `json:"seconds"`
	Factor  float64 `json:"factor"`
}

// Kind is one kind of request.
type Kind struct {
	Name string `json:"name"`
	// Share is the part of the arrivals, in relation to the other kinds.
	Share float64 `json:"share"`
	Key   string  `json:"key"`
	// Model makes it a chat; Service and Path make it a call.
	Model        string          `json:"model,omitempty"`
	Class        fleet.Class     `json:"class,omitempty"`
	PromptBytes  int             `json:"promptBytes,omitempty"`
	SharedPrefix int             `json:"sharedPrefixBytes,omitempty"`
	AnswerTokens int             `json:"answerTokens,omitempty"`
	MaxTokens    fleet.Tokens    `json:"maxTokens,omitempty"`
	Service      fleet.ServiceID `json:"service,omitempty"`
	Path         string          `json:"path,omitempty"`
	// AtMostOnce marks calls that may not run twice.
	AtMostOnce bool `json:"atMostOnce,omitempty"`
}

// ReadMix reads a mix from a file in JSON with comments.
func ReadMix(path string) (Mix, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Mix{}, eris.Wrap(err, "load: read the mix")
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return Mix{}, eris.Wrapf(err, "load: %s", path)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	mix := Mix{}
	if err := decoder.Decode(&mix); err != nil {
		return Mix{}, eris.Wrapf(err, "load: %s", path)
	}
	return mix, mix.check(path)
}

func (m Mix) check(path string) error {
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

// factor returns by how much the rate is multiplied at a time.
func (m Mix) factor(at time.Duration) float64 {
	for _, p := range m.Phases {
		length := time.Duration(p.Seconds * float64(time.Second))
		if at < length {
			return p.Factor
		}
		at -= length
	}
	return 1
}

// prompt makes the text of one request, which differs from every other behind the
// shared prefix.
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
