package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/discovery"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// MethodList asks an entry node for its list of instances. The request is a ListRequest, the
// response a ListResponse.
const MethodList wire.Method = "instanceList"

const (
	// listTimeout limits one call for the list.
	listTimeout = 300 * time.Millisecond
	// listPollInterval is the time between two checks of the list's age.
	listPollInterval = 600 * time.Millisecond
	// listReadInterval is the time between two reads by the node that reads for the others.
	listReadInterval = 2 * time.Second
	// listKey is the key whose owners pass the list on.
	listKey = "instanceList"
	// maxPassedAge is the age up to which a list that another node passes on is of use.
	maxPassedAge = 10 * time.Second
)

// ListRequest asks for a list. Digest identifies the instances that the caller has.
type ListRequest struct {
	Digest uint64 `json:"digest"`
}

// ListResponse has the list of a node. It is empty if Same is set: the caller has the same
// instances. Known is false if the node has none.
type ListResponse struct {
	Known     bool               `json:"known"`
	Same      bool               `json:"same,omitempty"`
	AgeMillis int64              `json:"ageMillis"`
	Instances []routing.Instance `json:"instances,omitempty"`
	// Versions has the software versions that services have had.
	Versions *origin.Report `json:"versions,omitempty"`
}

// ListDue reports whether this node has to read the list of instances itself. A node that has no
// recent list asks others before that.
//
// While the control group is out of reach, one entry node reads the list for all. Each data centre
// has a node that asks it, and the others ask that one, so that the calls to the platform do not
// grow with the fleet, and those to a single node only with its data centre. If every node read the
// list within the permitted rate, a node of a large fleet would get one every 20 s or so.
func (s *Server) ListDue() bool {
	if s.ListAge() <= discovery.StaleAfter {
		return false
	}
	sources, reads := s.listSources()
	if reads {
		return true
	}
	for _, address := range sources {
		if s.fetchList(address) {
			return false
		}
	}
	now := clock.SinceBoot()
	if now < s.nextOwnRead {
		return false
	}
	s.nextOwnRead = now + discovery.FallbackInterval(s.entryNodeCount(), s.cfg.ListRate)
	return true
}

// ListInterval returns the time until ListDue is to be called again.
func (s *Server) ListInterval() time.Duration {
	if _, reads := s.listSources(); reads {
		return discovery.Jittered(listReadInterval)
	}
	return discovery.Jittered(listPollInterval)
}

// listSources returns the nodes to ask for the list, in order. If this is the node that reads for
// the others, reads is true.
func (s *Server) listSources() (sources []netip.AddrPort, reads bool) {
	if s.cfg.Peers == nil {
		return nil, true
	}
	owners := s.peers.ownerSet()
	local, reader := owners.Owner(listKey, s.cfg.DataCentre), owners.Owner(listKey, "")
	if reader == s.cfg.Node {
		return nil, true
	}
	for _, node := range slices.Compact([]fleet.NodeID{local, reader}) {
		if address, ok := s.peers.address(node); ok && node != s.cfg.Node {
			sources = append(sources, address)
		}
	}
	return sources, false
}

// fetchList asks a node for its list and applies it. It returns false if the node has no list of
// use.
func (s *Server) fetchList(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(s.ctx, listTimeout)
	defer cancel()
	s.listMu.Lock()
	held, digest := s.heldInstances, s.heldDigest
	s.listMu.Unlock()
	response := ListResponse{}
	asked := clock.SinceBoot()
	err := s.cfg.Peers.Call(ctx, address, MethodList, ListRequest{Digest: digest}, &response)
	age := time.Duration(response.AgeMillis) * time.Millisecond
	if err != nil || !response.Known || age > maxPassedAge {
		return false
	}
	if response.Same {
		response.Instances = held
	} else {
		response.Instances, _ = routing.SoundInstances(response.Instances)
	}
	list := control.InstanceList{
		AgeMillis: response.AgeMillis,
		Instances: response.Instances,
		Versions:  response.Versions,
	}
	if response.Versions != nil {
		list.ProvenAt = origin.ProvenAt(response.Versions.ProvenMillis, asked)
	}
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.applyList(list)
	return true
}

// HandleList handles MethodList.
func (s *Server) HandleList(_ context.Context, _ fleet.NodeID, body []byte) (any, error) {
	request := ListRequest{}
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	s.listMu.Lock()
	defer s.listMu.Unlock()
	response := ListResponse{
		Known:     len(s.heldInstances) > 0,
		Same:      request.Digest == s.heldDigest,
		AgeMillis: (clock.SinceBoot() - s.listReadAt).Milliseconds(),
		Versions:  s.origins.report(),
	}
	if !response.Same {
		response.Instances = s.heldInstances
	}
	return response, nil
}

// listDigest returns a hash of the instances, which does not depend on their order.
func listDigest(instances []routing.Instance) uint64 {
	sum := uint64(len(instances))
	for _, i := range instances {
		sum += xxhash.Sum64String(fmt.Sprintf("%+v", i))
	}
	return sum
}
