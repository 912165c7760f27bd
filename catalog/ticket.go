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

// Change is the whole new state of one object, or its removal.
type Change struct {
	Body
	Remove *Key `json:"remove,omitempty"`
}

// Ticket is a numbered change: the whole new state of every object it touches.
type Ticket struct {
	Number  fleet.TicketNumber `json:"number"`
	Changes []Change           `json:"changes"`
	Note    string             `json:"note,omitempty"`
}

// Digest sums the ticket's content. Two tickets with equal digests ask for the
// same change, whatever their spacing and comments were.
func (t Ticket) Digest() fleet.Digest {
	content, err := json.Marshal(t)
	if err != nil {
		panic(fmt.Sprintf("catalog: encoding a ticket: %v", err))
	}
	return sha256.Sum256(content)
}

// ParseTicket reads a ticket in JSON with comments. Unknown fields are refused.
func ParseTicket(number fleet.TicketNumber, text []byte) (Ticket, error) {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return Ticket{}, eris.Wrap(err, "ticket: not JSON")
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	ticket := Ticket{}
	if err := decoder.Decode(&ticket); err != nil {
		return Ticket{}, eris.Wrap(err, "ticket")
	}
	if ticket.Number != 0 && ticket.Number != number {
		return Ticket{}, eris.Errorf("ticket: the text says number %d, the request says %d", ticket.Number, number)
	}
	ticket.Number = number
	return ticket, nil
}

// Outcome is the answer to a ticket. The same ticket always gets the same
// outcome.
type Outcome struct {
	Number   fleet.TicketNumber `json:"number"`
	Accepted bool               `json:"accepted"`
	Version  fleet.Version      `json:"version,omitempty"`
	Problems []Problem          `json:"problems,omitempty"`
	// Winner is the digest of the other ticket that already has this
	// number.
	Winner string           `json:"winner,omitempty"`
	At     fleet.UnixMillis `json:"at"`
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
