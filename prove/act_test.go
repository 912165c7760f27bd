package prove

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/faultproxy"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// execute runs one command of a script:
//
//	kill N, start N, stop N     SIGKILL, start, planned stop (which must exit 0)
//	freeze N, thaw N            SIGSTOP and SIGCONT
//	wipe N                      delete the node's data folder
//	cut N... | N...             partition two sets of nodes from each other
//	cutOneWay N M               drop what N sends to M
//	lossy PERMILLE              drop and duplicate packets in all directions
//	mend                        end partitions and packet loss
//	silence N|SERVER            blackhole the current connections
//	reset N|SERVER              reset the current connections
//	away SERVER                 make a backend server unreachable
//	leave SERVER                drain a backend server
//	topUp TOKENS                set the prepaid amounts of all paying budgets by ticket
//	version V                   set the model's version by ticket
//	gone N                      declare a node's VM destroyed by ticket
//	members N...                set the control nodes by ticket
//	race N M                    two operators send two tickets with one number
//	restartAll                  rolling restart by planned stops
func (f *testFleet) execute(words []string) {
	switch words[0] {
	case "kill":
		f.stopProcess(f.findNode(words[1]), syscall.SIGKILL, 5*time.Second)
	case "start":
		f.start(f.findNode(words[1]))
	case "stop":
		f.plannedStop(f.findNode(words[1]))
	case "freeze":
		f.findNode(words[1]).Signal(syscall.SIGSTOP)
	case "thaw":
		f.findNode(words[1]).Signal(syscall.SIGCONT)
	case "wipe":
		f.wipe(f.findNode(words[1]))
	case "cut":
		f.partition(words[1:])
	case "cutOneWay":
		f.network.SetFaults(faultproxy.Direction{
			From: words[1],
			To:   words[2],
		}, faultproxy.Faults{Cut: true})
	case "lossy":
		n, _ := strconv.Atoi(words[1])
		f.network.SetDefaultFaults(faultproxy.Faults{
			Delay:             f.config.delay,
			Jitter:            2 * time.Millisecond,
			LossPerMille:      n,
			DuplicatePerMille: n,
		})
	case "mend":
		f.network.ClearFaults()
		f.network.SetDefaultFaults(faultproxy.Faults{Delay: f.config.delay})
	case "silence":
		f.findProxy(words[1]).Blackhole()
	case "reset":
		f.findProxy(words[1]).Reset()
	case "away":
		f.network.SetFaults(faultproxy.Direction{
			From: "nodes",
			To:   words[1],
		}, faultproxy.Faults{Cut: true})
	case "leave":
		f.findServer(words[1]).engine.SetDraining(true)
	case "topUp":
		n, _ := strconv.Atoi(words[1])
		f.topUp(fleet.Tokens(n))
	case "version":
		f.mustApply([]catalog.Change{{Body: catalog.Body{Model: modelObject(words[1])}}})
	case "gone":
		f.mustApply([]catalog.Change{{Body: catalog.Body{Node: &catalog.Node{
			ID:        fleet.NodeID(words[1]),
			Destroyed: true,
		}}}})
		f.findNode(words[1]).declaredDestroyed = true
	case "members":
		f.setControlNodes(words[1:])
	case "race":
		f.raceTickets(f.findNode(words[1]), f.findNode(words[2]))
	case "restartAll":
		for _, p := range f.nodes {
			f.plannedStop(p)
			f.start(p)
			f.awaitReady(20 * time.Second)
		}
	default:
		f.t.Errorf("unknown command %q", words[0])
	}
}

func (f *testFleet) topUp(prepaid fleet.Tokens) {
	f.config.paying = prepaid
	var changes []catalog.Change
	for w := 1; w <= workspaces; w++ {
		changes = append(changes, catalog.Change{Body: catalog.Body{Budget: &f.budgets(w)[0]}})
	}
	f.mustApply(changes)
}

func (f *testFleet) findProxy(name string) *faultproxy.TCP {
	for _, p := range f.nodes {
		if p.name == name {
			return p.callerProxy
		}
	}
	return f.findServer(name).proxy
}

func (f *testFleet) plannedStop(p *nodeProcess) {
	if code := f.stopProcess(p, syscall.SIGTERM, 40*time.Second); code != 0 {
		f.t.Errorf("planned stop of %s: got exit code %d, want 0", p.name, code)
	}
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		f.t.Fatal(err)
	}
	if strings.Contains(string(text), `"event":104`) {
		f.t.Errorf("planned stop of %s aborted requests: its log has event 104, NodeCut", p.name)
	}
}

func (f *testFleet) wipe(p *nodeProcess) {
	if p.Running() {
		f.t.Errorf("wipe %s: the node must be stopped first", p.name)
		return
	}
	if err := os.RemoveAll(p.settings.Control.DataFolder); err != nil {
		f.t.Error(err)
	}
}

func (f *testFleet) partition(words []string) {
	sides := [2][]string{}
	side := 0
	for _, word := range words {
		if word == "|" {
			side = 1
			continue
		}
		sides[side] = append(sides[side], word)
	}
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			if a == b {
				continue
			}
			for _, direction := range []faultproxy.Direction{{
				From: a,
				To:   b,
			}, {
				From: b,
				To:   a,
			}} {
				f.network.SetFaults(direction, faultproxy.Faults{Cut: true})
			}
		}
	}
}

// raceTickets has two operators send different tickets with one number through two nodes
// concurrently. Each repeats its ticket while the node is unavailable. Exactly one must be
// accepted.
func (f *testFleet) raceTickets(first, second *nodeProcess) {
	f.lastTicket++
	type result struct {
		code     int
		accepted bool
	}
	results := make(chan result, 2)
	for i, p := range []*nodeProcess{first, second} {
		go func() {
			response := struct {
				Outcome struct {
					Accepted bool `json:"accepted"`
				} `json:"outcome"`
			}{}
			ticket := newRaceTicket(f.lastTicket, i)
			code := 503
			for range 100 {
				text, err := json.Marshal(ticket)
				if err != nil {
					break
				}
				got, err := f.callOperatorAPI(p, "PUT", fmt.Sprintf("/v1/tickets/%d", ticket.Number), text, &response)
				if err == nil && got != 503 {
					code = got
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			results <- result{
				code:     code,
				accepted: response.Outcome.Accepted,
			}
		}()
	}
	a, b := <-results, <-results
	if a.accepted == b.accepted {
		f.t.Errorf("two tickets of number %d: got %+v and %+v, want exactly one accepted", f.lastTicket, a, b)
	}
}

func newRaceTicket(number fleet.TicketNumber, version int) catalog.Ticket {
	return catalog.Ticket{
		Number: number,
		Changes: []catalog.Change{{Body: catalog.Body{Model: &catalog.Model{
			ID:        "raced",
			Version:   strconv.Itoa(version),
			MaxOutput: 1,
			MaxPrompt: 1,
		}}}},
	}
}

// setControlNodes sets by ticket the nodes that run a control replica.
func (f *testFleet) setControlNodes(names []string) {
	var changes []catalog.Change
	for _, name := range names {
		changes = append(changes, catalog.Change{Body: catalog.Body{Node: &catalog.Node{
			ID:      fleet.NodeID(name),
			Control: true,
		}}})
	}
	f.mustApply(changes)
}
