package control

import (
	"net/netip"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// Methods that a control replica serves.
const (
	// MethodConsensus sends a consensus.Message to another replica.
	MethodConsensus wire.Method = "consensus"
	// MethodAnnounce sends an Announcement to another replica.
	MethodAnnounce wire.Method = "announce"
	// MethodInstances sends an InstanceList to another replica.
	MethodInstances wire.Method = "instances"
	// MethodEvidence sends the evidence of an entry node, a []quarantine.Evidence, to another
	// replica.
	MethodEvidence wire.Method = "evidence"
	// MethodLimits sends what an entry node knows of limits, a []ratelimit.Report, to another
	// replica.
	MethodLimits wire.Method = "limits"
	// MethodOrigins sends streams that entry nodes have begun, a []origin.Record, to another replica.
	MethodOrigins wire.Method = "origins"
	// MethodFindOrigin asks a replica where a stream began. The request is an origin.Key, the response
	// an OriginResponse.
	MethodFindOrigin wire.Method = "findOrigin"
	// MethodSubmit submits a Command and returns a SubmitResponse.
	MethodSubmit wire.Method = "submit"
	// MethodQuery sends a Query and returns a QueryResponse.
	MethodQuery wire.Method = "query"
	// MethodSubscribe opens a channel on which the client sends Heartbeats and the
	// replica sends Updates.
	MethodSubscribe wire.Method = "subscribe"
)

// Announcement is sent to the other control nodes. It contains a replica's identity and
// address, and the reports of the nodes whose heartbeats it has recently received.
type Announcement struct {
	Node    fleet.NodeID        `json:"node"`
	Replica consensus.ReplicaID `json:"replica"`
	Address netip.AddrPort      `json:"address"`
	// Formed is set if the replica belongs to a group.
	Formed bool `json:"formed"`
	// Reports are the latest reports of the nodes that send their heartbeats to
	// this replica.
	Reports []roster.Report `json:"heard,omitempty"`
	// Contacts are the addresses of control VMs that announced themselves recently.
	// It is set in a fleet whose settings do not list the control VMs.
	Contacts []netip.AddrPort `json:"contacts,omitempty"`
	// Evacuates is set by versions that apply Command.Evacuate.
	Evacuates bool `json:"evacuates,omitempty"`
	// Leaving is set while the replica's process is stopping.
	Leaving bool `json:"leaving,omitempty"`
}

// SubmitStatus is the outcome of a submitted command.
type SubmitStatus string

// The values of SubmitStatus.
const (
	// SubmitDone means that the command was committed; Result is its result.
	SubmitDone SubmitStatus = "done"
	// SubmitNotLeader means that the command was rejected because the replica is
	// not the leader. The response names the leader if it is known.
	SubmitNotLeader SubmitStatus = "notLeader"
	// SubmitUnavailable means that the command was rejected because the replica
	// cannot accept commands now.
	SubmitUnavailable SubmitStatus = "unavailable"
	// SubmitUnknown means that the replica lost leadership, failed or timed out
	// while the command was in flight. The command may or may not be applied.
	SubmitUnknown SubmitStatus = "unknown"
)

// SubmitResponse is the response to a submitted Command.
type SubmitResponse struct {
	Status SubmitStatus   `json:"status"`
	Result Result         `json:"result"`
	Leader netip.AddrPort `json:"leader"`
	Reason string         `json:"reason,omitempty"`
}

// Query requests one part of the state. Exactly one field is set.
type Query struct {
	Budget  fleet.BudgetID     `json:"budget,omitempty"`
	Ticket  fleet.TicketNumber `json:"ticket,omitempty"`
	Tickets int                `json:"tickets,omitempty"`
	Status  bool               `json:"status,omitempty"`
	// Routing requests the source document of the routing configuration.
	Routing bool `json:"routing,omitempty"`
	// Evacuations requests the evacuated data centres.
	Evacuations bool `json:"evacuations,omitempty"`
}

// QueryResponse is the response to a Query. Only a leader that holds its lease returns
// anything but Status.
type QueryResponse struct {
	Status SubmitStatus       `json:"status"`
	Leader netip.AddrPort     `json:"leader"`
	Found  bool               `json:"found"`
	Budget *ledger.BudgetView `json:"budget,omitempty"`
	// Outcomes and Digest are set for Ticket, Outcomes alone for Tickets.
	Outcomes []catalog.Outcome `json:"outcomes,omitempty"`
	Digest   fleet.Digest      `json:"digest"`
	Replica  *ReplicaStatus    `json:"replica,omitempty"`
	// Document and Version are set for Routing.
	Document []byte          `json:"document,omitempty"`
	Version  routing.Version `json:"version,omitempty"`
	// Evacuated is set for Evacuations.
	Evacuated *evacuation.List `json:"evacuated,omitempty"`
}

// InstanceList is the list of backend instances as one control node read it. Reader is
// that node; Number increases with each list that it reads.
type InstanceList struct {
	Reader    fleet.NodeID       `json:"reader"`
	Number    uint64             `json:"number"`
	AgeMillis int64              `json:"ageMillis"`
	Instances []routing.Instance `json:"instances,omitempty"`
	// Unchanged is set if the instances equal those last sent on this subscription.
	// Instances is then empty.
	Unchanged bool `json:"same,omitempty"`
	// Versions has the software versions that services have had.
	Versions *origin.Report `json:"versions,omitempty"`
	// ProvenMillis is as in origin.Report. Echo, between replicas, is the latest stamp that the sender has
	// seen of the receiver.
	ProvenMillis *int64 `json:"provenMillis,omitempty"`
	Echo         int64  `json:"echo,omitempty"`
	// ProvenAt is ProvenMillis as a time since boot of the receiver, or 0 if that is not known.
	ProvenAt time.Duration `json:"-"`
}

// OriginResponse is the response to MethodFindOrigin, whose request is an origin.Key.
type OriginResponse struct {
	Known    bool          `json:"known"`
	Record   origin.Record `json:"record"`
	Versions origin.Report `json:"versions"`
}

// ReplicaStatus is the status of one replica as shown to operators.
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
	// Evacuated are the evacuated data centres as of the latest command that the replica has applied.
	Evacuated []fleet.DataCentre `json:"evacuated,omitempty"`
}

// Heartbeat is sent by an entry node to its control replica.
type Heartbeat struct {
	Report roster.Report `json:"report"`
	// Routing is the version of the routing configuration in use on the node.
	Routing routing.Version `json:"routing,omitempty"`
	// Evacuations is the number of the list of evacuated data centres in use on the node.
	Evacuations uint64 `json:"evacuations,omitempty"`
	// Full requests the whole roster and all open recalls again.
	Full bool `json:"full,omitempty"`
	// Probe is set while the node only asks whether the replica is up to date. The replica sends
	// nothing else until a heartbeat without it, and does not count the node as alive by it.
	Probe bool `json:"probe,omitempty"`
	// RoutingDeltas is set by nodes that read Update.RoutingDelta.
	RoutingDeltas bool `json:"routingDeltas,omitempty"`
	// RoutingForm is the latest form of a routing configuration that the node reads: from 1 on it knows
	// routing.Config.KeysRequired and routing.UnlimitedPrepaid.
	RoutingForm int `json:"routingForm,omitempty"`
	// WholeRouting requests the whole routing configuration, in the version that the node has or a later one.
	WholeRouting bool `json:"wholeRouting,omitempty"`
	// Sent is the node's boot clock when it sent the heartbeat, in nanoseconds. Updates repeat it.
	Sent int64 `json:"sent,omitempty"`
	// Evidence is what the node has newly observed of parts of prompts. The first heartbeat of a
	// subscription repeats recent crashes and has the suspensions that the node knows, for a
	// replica that was out of reach or has started since.
	Evidence  []quarantine.Evidence `json:"evidence,omitempty"`
	Suspended []quarantine.Notice   `json:"suspended,omitempty"`
	// Limits has what responses to the node have newly said of limits. The first heartbeat of a
	// subscription has all that the node knows from responses.
	Limits []ratelimit.Report `json:"limits,omitempty"`
	// Origins has the streams that the node has newly begun. The first heartbeat of a subscription
	// has the latest that the node knows, and Versions, for a replica that has started since.
	Origins  []origin.Record `json:"origins,omitempty"`
	Versions *origin.Report  `json:"versions,omitempty"`
}

// Update is sent by a control replica to an entry node. Parts that have not changed
// are absent.
type Update struct {
	// Stale is set if the replica has not received a message from its leader recently,
	// has failed, or has not applied all that the leader has committed. Its
	// configuration may then be outdated, so it sends none.
	Stale bool `json:"stale,omitempty"`
	// Echo is Sent of the latest heartbeat, and FreshMicros the age of the replica's latest proof
	// that its configuration is the newest. Both are 0 in the updates of replicas that know neither.
	Echo        int64 `json:"echo,omitempty"`
	FreshMicros int64 `json:"freshMicros,omitempty"`
	// Versions are those that the proof is about, which the node need not have yet: the response to a
	// probe contains nothing else. It is nil in stale updates, and in those of replicas that do not send it.
	Versions *Versions       `json:"versions,omitempty"`
	Delta    *catalog.Delta  `json:"delta,omitempty"`
	Routing  *routing.Config `json:"routing,omitempty"`
	// RoutingDelta is what has changed of the routing configuration. It is sent in place of Routing to a node
	// that has an earlier one, if the replica knows the changes since.
	RoutingDelta *routing.Delta `json:"routingDelta,omitempty"`
	// Evacuations has the evacuated data centres. It goes to nodes that have an older list.
	Evacuations *evacuation.List `json:"evacuations,omitempty"`
	// Instances is the latest instance list.
	Instances *InstanceList   `json:"instances,omitempty"`
	Roster    []roster.Report `json:"roster,omitempty"`
	Recalls   []ledger.Recall `json:"recalls,omitempty"`
	// Quarantine has the parts of prompts that are watched or suspended.
	Quarantine *quarantine.List `json:"quarantine,omitempty"`
	// Limits has the limits that instances name.
	Limits *ratelimit.List `json:"limits,omitempty"`
	// EndedHolders lists the ended holders that the node has not confirmed yet.
	EndedHolders []fleet.Holder `json:"ending,omitempty"`
	// Ended is set if this incarnation of the node has ended in the ledger: a later
	// one is registered, or a ticket declared the VM destroyed. The node must not spend
	// from any budget.
	Ended bool `json:"ended,omitempty"`
	// Leader is the leader's address, if known.
	Leader netip.AddrPort `json:"leader"`
}
