package ledger

import (
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Image is a copy of the whole ledger for snapshots, in a deterministic order.
type Image struct {
	Now          fleet.UnixMillis   `json:"now"`
	Unbacked     uint64             `json:"unbacked"`
	Accounts     []AccountImage     `json:"accounts"`
	Holders      []fleet.Holder     `json:"holders"`
	EndedHolders []EndedHolderImage `json:"ending"`
	Settlements  []SettlementImage  `json:"settlements"`
	Calls        []CallImage        `json:"calls"`
	// Registrations holds the incarnations that the ledger numbered itself.
	Registrations map[fleet.NodeID]RegistrationImage `json:"lives,omitempty"`
	// Forfeited has the budgets of which something was forfeited. It is no part of AccountImage, whose
	// arrays the build before could not read with another element.
	Forfeited map[fleet.BudgetID]fleet.Tokens `json:"forfeited,omitempty"`
}

// RegistrationImage is an incarnation that the ledger numbered, in an Image.
type RegistrationImage struct {
	Nonce uint64 `json:"life"`
	Boot  string `json:"boot,omitempty"`
	// LimitRise is how long the incarnation's spending limits rise.
	LimitRise time.Duration `json:"rise,omitempty"`
}

// AccountImage is one budget in an Image.
type AccountImage struct {
	_ struct{} `cbor:",toarray"`

	ID      fleet.BudgetID `json:"id"`
	Prepaid fleet.Tokens   `json:"prepaid"`
	Settled fleet.Tokens   `json:"settled"`
	Leases  []LeaseImage   `json:"leases"`
	Metered bool           `json:"metered,omitempty"`
	// ScarceUntil is the time until which holders are granted only what their
	// requests need, because another holder's need was not met.
	ScarceUntil fleet.UnixMillis `json:"scarceUntil,omitempty"`
}

// LeaseImage is one lease in an Image.
type LeaseImage struct {
	_ struct{} `cbor:",toarray"`

	Holder            fleet.Holder     `json:"holder"`
	Outstanding       fleet.Tokens     `json:"outstanding"`
	Last              LeaseResult      `json:"last"`
	Recalling         bool             `json:"recalling"`
	RecallRespondedAt fleet.UnixMillis `json:"answeredAt"`
	Granted           bool             `json:"granted,omitempty"`
	Limit             fleet.Tokens     `json:"limit,omitempty"`
	Slope             fleet.Tokens     `json:"slope,omitempty"`
	At                time.Duration    `json:"at,omitempty"`
}

// EndedHolderImage is one ended holder in an Image, with the nodes that have not
// confirmed it yet.
type EndedHolderImage struct {
	Holder  fleet.Holder   `json:"holder"`
	Waiting []fleet.NodeID `json:"waiting"`
}

// SettlementImage is one billed request in an Image.
type SettlementImage struct {
	_ struct{} `cbor:",toarray"`

	Key     [16]byte         `json:"key"`
	Tokens  fleet.Tokens     `json:"tokens"`
	Charged fleet.Tokens     `json:"charged"`
	Attempt uint64           `json:"attempt"`
	Partial bool             `json:"partial,omitempty"`
	At      fleet.UnixMillis `json:"at"`
}

// CallImage is one recorded call in an Image.
type CallImage struct {
	Begin    Begin            `json:"begin"`
	State    CallState        `json:"state"`
	Response *Response        `json:"answer"`
	Finished SettleResult     `json:"finished"`
	At       fleet.UnixMillis `json:"at"`
}

// Image returns a copy of the whole ledger.
func (s *State) Image() Image {
	image := Image{
		Now:           s.now,
		Unbacked:      s.unbacked,
		Registrations: map[fleet.NodeID]RegistrationImage{},
		Forfeited:     map[fleet.BudgetID]fleet.Tokens{},
	}
	for node, r := range s.registrations {
		image.Registrations[node] = RegistrationImage{
			Nonce:     r.nonce,
			Boot:      r.boot,
			LimitRise: r.limitRise,
		}
	}
	for id, a := range s.accounts {
		image.Accounts = append(image.Accounts, a.image(id))
		if a.forfeited > 0 {
			image.Forfeited[id] = a.forfeited
		}
	}
	sort.Slice(image.Accounts, func(i, j int) bool { return image.Accounts[i].ID < image.Accounts[j].ID })
	for node, incarnation := range s.holders {
		image.Holders = append(image.Holders, fleet.Holder{
			Node:        node,
			Incarnation: incarnation,
		})
	}
	sort.Slice(image.Holders, func(i, j int) bool { return lessHolder(image.Holders[i], image.Holders[j]) })
	for holder, waiting := range s.ended {
		image.EndedHolders = append(image.EndedHolders, endedHolderImage(holder, waiting))
	}
	sort.Slice(image.EndedHolders, func(i, j int) bool {
		return lessHolder(image.EndedHolders[i].Holder, image.EndedHolders[j].Holder)
	})
	for _, item := range s.settledOrder {
		b := s.settlements[item.key]
		image.Settlements = append(image.Settlements, SettlementImage{
			Key:     item.key,
			Tokens:  b.tokens,
			Charged: b.charged,
			Attempt: b.attempt,
			Partial: b.partial,
			At:      item.at,
		})
	}
	for _, item := range s.callOrder {
		image.Calls = append(image.Calls, s.calls[item.key].image(item))
	}
	return image
}

func (a *account) image(id fleet.BudgetID) AccountImage {
	image := AccountImage{
		ID:          id,
		Prepaid:     a.prepaid,
		Settled:     a.settled,
		Metered:     a.metered,
		ScarceUntil: a.scarceUntil,
	}
	for holder, l := range a.leases {
		image.Leases = append(image.Leases, LeaseImage{
			Holder:            holder,
			Outstanding:       l.outstanding,
			Last:              l.last,
			Recalling:         l.recalling,
			RecallRespondedAt: l.recallRespondedAt,
			Granted:           l.grantedSince,
			Limit:             l.limit,
			Slope:             l.slope,
			At:                l.at,
		})
	}
	sort.Slice(image.Leases, func(i, j int) bool {
		return lessHolder(image.Leases[i].Holder, image.Leases[j].Holder)
	})
	return image
}

func endedHolderImage(holder fleet.Holder, waiting map[fleet.NodeID]bool) EndedHolderImage {
	image := EndedHolderImage{Holder: holder}
	for node := range waiting {
		image.Waiting = append(image.Waiting, node)
	}
	sort.Slice(image.Waiting, func(i, j int) bool { return image.Waiting[i] < image.Waiting[j] })
	return image
}

func (c *call) image(item timestamped[RequestKey]) CallImage {
	return CallImage{
		Begin: Begin{
			Key:      item.key,
			Budget:   c.budget,
			Holder:   c.holder,
			BodyHash: c.bodyHash,
			Attempt:  c.attempt,
		},
		State:    c.state,
		Response: c.response,
		Finished: c.finished,
		At:       item.at,
	}
}

// FromImage restores a ledger from its image.
func FromImage(image Image) *State {
	s := New()
	s.now = image.Now
	s.unbacked = image.Unbacked
	for node, r := range image.Registrations {
		s.registrations[node] = registration{
			nonce:     r.Nonce,
			boot:      r.Boot,
			limitRise: r.LimitRise,
		}
	}
	for _, a := range image.Accounts {
		s.accounts[a.ID] = accountFromImage(a)
		s.accounts[a.ID].forfeited = image.Forfeited[a.ID]
	}
	for _, holder := range image.Holders {
		s.holders[holder.Node] = holder.Incarnation
	}
	for _, e := range image.EndedHolders {
		waiting := map[fleet.NodeID]bool{}
		for _, node := range e.Waiting {
			waiting[node] = true
		}
		s.ended[e.Holder] = waiting
	}
	for _, b := range image.Settlements {
		s.settlements[b.Key] = settlementRecord{
			tokens:  b.Tokens,
			charged: b.Charged,
			attempt: b.Attempt,
			partial: b.Partial,
		}
		s.settledOrder = append(s.settledOrder, timestamped[settlementKey]{
			key: b.Key,
			at:  b.At,
		})
	}
	for _, c := range image.Calls {
		s.restoreCall(c)
	}
	return s
}

func accountFromImage(image AccountImage) *account {
	a := &account{
		prepaid:     image.Prepaid,
		settled:     image.Settled,
		metered:     image.Metered,
		scarceUntil: image.ScarceUntil,
		leases:      map[fleet.Holder]*lease{},
	}
	for _, l := range image.Leases {
		a.leases[l.Holder] = &lease{
			outstanding:       l.Outstanding,
			last:              l.Last,
			recalling:         l.Recalling,
			recallRespondedAt: l.RecallRespondedAt,
			grantedSince:      l.Granted,
			limit:             l.Limit,
			slope:             l.Slope,
			at:                l.At,
		}
		a.leased += l.Outstanding
	}
	return a
}

func (s *State) restoreCall(image CallImage) {
	c := newCall(image.Begin)
	c.state = image.State
	c.response = image.Response
	c.finished = image.Finished
	s.calls[image.Begin.Key] = c
	s.callOrder = append(s.callOrder, timestamped[RequestKey]{
		key: image.Begin.Key,
		at:  image.At,
	})
}
