package control

import (
	"net/netip"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// The methods that a control replica serves.
const (
	// MethodConsensus carries consensus.Message between replicas.
	MethodConsensus wire.Method = "consensus"
	// MethodAnnounce carries Announcement between replicas.
	MethodAnnounce wire.Method = "announce"
	// MethodInstances carries InstanceList between replicas.
	MethodInstances wire.Method = "instances"
	// MethodSubmit asks for a Command; the answer is a SubmitAnswer.
	MethodSubmit wire.Method = "submit"
	// MethodQuery asks a Query; the answer is a QueryAnswer.
	MethodQuery wire.Method = "query"
	// MethodSubscribe opens a channel: Heartbeat one way, Update the other.
	MethodSubscribe wire.Method = "subscribe"
)

// Announcement tells the other control nodes who a replica is and which entry
// nodes it heard of.
type Announcement struct {
	Node    fleet.NodeID        `json:"node"`
	Replica consensus.ReplicaID `json:"replica"`
	Address netip.AddrPort      `json:"address"`
	// Formed says that the replica belongs to a group.
	Formed  bool            `json:"formed"`
	Reports []roster.Report `json:"heard,omitempty"`
	// Contacts are the addresses of control VMs that the replica knows, in a
	// fleet whose settings do not list them.
	Contacts []netip.AddrPort `json:"contacts,omitempty"`
}

// SubmitStatus tells what became of a command.
type SubmitStatus string

// What can become of a command.
const (
	// SubmitDone means that the command was committed; Result answers it.
	SubmitDone SubmitStatus = "done"
	// SubmitNotLeader means that the command was not taken, and names the
	// leader if it is known.
	SubmitNotLeader SubmitStatus = "notLeader"
	// SubmitUnavailable means that the command was not taken because the
	// group cannot take any now.
	SubmitUnavailable SubmitStatus = "unavailable"
	// SubmitUnknown means that leadership was lost while the command was
	// under way: it may or may not be carried out.
	SubmitUnknown SubmitStatus = "unknown"
)

// SubmitAnswer answers a Command.
type SubmitAnswer struct {
	Status SubmitStatus   `json:"status"`
	Result Result         `json:"result"`
	Leader netip.AddrPort `json:"leader"`
	Reason string         `json:"reason,omitempty"`
}

// Query asks for a part of the state. Exactly one field is set.
type Query struct {
	Budget  fleet.BudgetID     `json:"budget,omitempty"`
	Ticket  fleet.TicketNumber `json:"ticket,omitempty"`
	Tickets int                `json:"tickets,omitempty"`
	Status  bool               `json:"status,omitempty"`
	// Routing asks for the operator's text of the routed requests'
	// configuration.
	Routing bool `json:"routing,omitempty"`
}

// QueryAnswer answers a Query. Budgets and tickets are answered only by a leader
// that holds its lease.
type QueryAnswer struct {
	Status SubmitStatus       `json:"status"`
	Leader netip.AddrPort     `json:"leader"`
	Found  bool               `json:"found"`
	Budget *ledger.BudgetView `json:"budget,omitempty"`
	// Outcomes and Digest answer Ticket and Tickets.
	Outcomes []catalog.Outcome `json:"outcomes,omitempty"`
	Digest   fleet.Digest      `json:"digest"`
	Replica  *ReplicaStatus    `json:"replica,omitempty"`
	// Document and Version answer Routing.
	Document []byte          `json:"document,omitempty"`
	Version  routing.Version `json:"version,omitempty"`
}

// InstanceList is the list of instances as one reader saw it. Numbers rise with
// each reading of one reader; Reader tells readers apart.
type InstanceList struct {
	Reader    fleet.NodeID       `json:"reader"`
	Number    uint64             `json:"number"`
	AgeMillis int64              `json:"ageMillis"`
	Instances []routing.Instance `json:"instances,omitempty"`
	// Unchanged says that the instances are those of the list that was sent before
	// on this subscription.
	Unchanged bool `json:"same,omitempty"`
}

// ReplicaStatus is one replica as operators see it.
type ReplicaStatus struct {
	Node      fleet.NodeID     `json:"node"`
	Consensus consensus.Status `json:"consensus"`
	HasLease  bool             `json:"hasLease"`
	Open      bool             `json:"open"`
	Failed    string           `json:"failed,omitempty"`
	Version   fleet.Version    `json:"version"`
	Ledger    ledger.Stats     `json:"ledger"`
	LogBytes  int64            `json:"logBytes"`
	Nodes     []roster.Report  `json:"nodes"`
	NowMillis fleet.UnixMillis `json:"nowMillis"`
}

// Heartbeat is what an entry node sends its control replica.
type Heartbeat struct {
	Report roster.Report `json:"report"`
	// Routing is the version of the routed requests' configuration in force on
	// the node.
	Routing routing.Version `json:"routing,omitempty"`
	// Full asks for the whole roster and the open recalls again.
	Full bool `json:"full,omitempty"`
}

// Update is what a control replica sends an entry node. Absent parts have not
// changed.
type Update struct {
	// Stale says that the replica has not heard from a leader lately. It
	// then sends no configuration, which could be an old one.
	Stale   bool            `json:"stale,omitempty"`
	Delta   *catalog.Delta  `json:"delta,omitempty"`
	Routing *routing.Config `json:"routing,omitempty"`
	// Instances is the latest list of instances, from the replica that reads it.
	Instances *InstanceList   `json:"instances,omitempty"`
	Roster    []roster.Report `json:"roster,omitempty"`
	Recalls   []ledger.Recall `json:"recalls,omitempty"`
	// EndedHolders lists the ended holders that the node has not confirmed.
	EndedHolders []fleet.Holder `json:"ending,omitempty"`
	// Ended says that this life of the node has ended for the ledger: a later
	// one is registered, or a ticket called the VM gone. The node must spend
	// nothing more.
	Ended bool `json:"ended,omitempty"`
	// Leader is where commands go, if known.
	Leader netip.AddrPort `json:"leader"`
}
