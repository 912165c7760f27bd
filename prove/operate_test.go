package prove

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/operator"
)

// mustApply applies changes as the ticket with the next number, through any node.
func (f *testFleet) mustApply(changes []catalog.Change) operator.TicketResponse {
	f.lastTicket++
	ticket := catalog.Ticket{
		Number:  f.lastTicket,
		Changes: changes,
	}
	deadline := time.Now().Add(20 * time.Second)
	for {
		for _, p := range f.nodes {
			if !p.Running() {
				continue
			}
			response := operator.TicketResponse{}
			status, err := f.putTicket(p, ticket, &response)
			if err == nil && status == http.StatusOK {
				return response
			}
			if err == nil && status == http.StatusUnprocessableEntity {
				f.t.Fatalf("ticket %d was rejected: %v", ticket.Number, response.Outcome.Problems)
			}
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("ticket %d was not applied within 20 s", ticket.Number)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *testFleet) putTicket(p *nodeProcess, ticket catalog.Ticket, response *operator.TicketResponse) (int, error) {
	text, err := json.Marshal(ticket)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.callOperatorAPI(p, http.MethodPut, fmt.Sprintf("/v1/tickets/%d?waitMillis=4000", ticket.Number), text, response)
}

// callOperatorAPI sends a request to a node's operator API and decodes the response into
// result.
func (f *testFleet) callOperatorAPI(p *nodeProcess, method, path string, body []byte, result any) (int, error) {
	request, err := http.NewRequest(method, "http://"+p.settings.Listen.Operators.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	client := http.Client{Timeout: 15 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, json.Unmarshal(text, result)
}

func (f *testFleet) ready(p *nodeProcess) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.settings.Listen.Operators.String() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all started nodes are ready and the control group is complete.
func (f *testFleet) awaitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, p := range f.nodes {
		for p.Running() && !p.declaredDestroyed && !f.ready(p) {
			if time.Now().After(deadline) {
				f.t.Fatalf("node %s is not ready after %s", p.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for !f.controlGroupComplete() {
		if time.Now().After(deadline) {
			f.t.Fatalf("the control group is not complete after %s: %+v", limit, f.readStatus())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// controlGroupComplete reports whether every control node has a voter and the group has no
// other members.
func (f *testFleet) controlGroupComplete() bool {
	for _, r := range f.readStatus().Replicas {
		if r.HasLease {
			members := r.Consensus.Members
			return members.Voters() == f.config.control && len(members.Replicas) == f.config.control
		}
	}
	return false
}

func (f *testFleet) readStatus() operator.Status {
	for _, p := range f.nodes {
		status := operator.Status{}
		if !p.Running() {
			continue
		}
		if code, err := f.callOperatorAPI(p, http.MethodGet, "/v1/status", nil, &status); err == nil && code == http.StatusOK && len(status.Replicas) > 0 {
			return status
		}
	}
	return operator.Status{}
}

func (f *testFleet) readBudget(id fleet.BudgetID) operator.BudgetResponse {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		for _, p := range f.nodes {
			response := operator.BudgetResponse{}
			if !p.Running() {
				continue
			}
			if code, err := f.callOperatorAPI(p, http.MethodGet, "/v1/budgets/"+string(id), nil, &response); err == nil && code == http.StatusOK {
				return response
			}
		}
	}
	f.t.Fatalf("no node returned budget %s within 10 s", id)
	return operator.BudgetResponse{}
}

func (f *testFleet) seedAddresses() []string {
	var seeds []string
	for _, p := range f.nodes {
		seeds = append(seeds, p.settings.Advertise.Callers.String())
	}
	return seeds
}
