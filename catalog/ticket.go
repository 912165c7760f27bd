package catalog

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Change is the complete new state of one object, or its removal.
type Change struct {
	Body
	Remove *Key `json:"remove,omitempty"`
}

// Ticket is a numbered set of changes that is applied as a whole or not at all.
type Ticket struct {
	Number  fleet.TicketNumber `json:"number"`
	Changes []Change           `json:"changes"`
	Note    string             `json:"note,omitempty"`
}

// Digest returns the SHA-256 sum of the ticket's content. Spacing and comments of the
// text do not count: tickets with equal digests request the same changes.
func (t Ticket) Digest() fleet.Digest {
	content, err := json.Marshal(t)
	if err != nil {
		panic(fmt.Sprintf("catalog: encode a ticket: %v", err))
	}
	return sha256.Sum256(content)
}

// ParseTicket parses a ticket in JSON with comments. Unknown fields are refused.
func ParseTicket(number fleet.TicketNumber, text []byte) (Ticket, error) {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return Ticket{}, eris.Wrap(err, "parse the ticket: not valid JSON")
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	ticket := Ticket{}
	if err := decoder.Decode(&ticket); err != nil {
		return Ticket{}, eris.Wrap(err, "decode the ticket")
	}
	if ticket.Number != 0 && ticket.Number != number {
		return Ticket{}, eris.Errorf("ticket: its text has number %d, but the request has number %d", ticket.Number, number)
	}
	ticket.Number = number
	return ticket, nil
}

// Outcome is the result of a ticket. A resent ticket that was accepted gets the same
// outcome while it is retained.
type Outcome struct {
	Number   fleet.TicketNumber `json:"number"`
	Accepted bool               `json:"accepted"`
	Version  fleet.Version      `json:"version,omitempty"`
	Problems []Problem          `json:"problems,omitempty"`
	// AcceptedDigest is the digest of the different ticket that was accepted under
	// this number.
	AcceptedDigest string           `json:"winner,omitempty"`
	At             fleet.UnixMillis `json:"at"`
}

// Problem is one reason why a ticket was refused.
type Problem struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
	Hint   string `json:"hint,omitempty"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	text := p.Field + ": " + p.Reason
	if p.Hint != "" {
		text += " (" + p.Hint + ")"
	}
	return text
}
