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
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/relay"
)

// act carries out one command:
//
//	kill N, start N, stop N     SIGKILL, start, planned stop (which must exit 0)
//	freeze N, thaw N            SIGSTOP and SIGCONT
//	wipe N                      remove the node's data folder
//	cut N... | N...             cut two sets of nodes off from each other
//	cutOneWay N M               lose what N sends to M
//	lossy PERMILLE              lose and repeat packets everywhere
//	mend                        remove cuts and losses
//	silence N|SERVER            make the present connections silent for good
//	reset N|SERVER              reset the present connections
//	away SERVER                 cut a backend server off
//	leave SERVER                make a backend server leave
//	topUp TOKENS                set all paying budgets' prepaid amounts by ticket
//	version V                   set the model's version by ticket
//	gone N                      call a node's VM gone by ticket
//	members N...                name the control nodes by ticket
//	race N M                    two operators send two tickets of one number
//	restartAll                  a rolling restart by planned stops
func (f *testFleet) act(words []string) {
	switch words[0] {
	case "kill":
		f.end(f.node(words[1]), syscall.SIGKILL, 5*time.Second)
	case "start":
		f.start(f.node(words[1]))
	case "stop":
		f.plannedStop(f.node(words[1]))
	case "freeze":
		f.node(words[1]).Signal(syscall.SIGSTOP)
	case "thaw":
		f.node(words[1]).Signal(syscall.SIGCONT)
	case "wipe":
		f.wipe(f.node(words[1]))
	case "cut":
		f.cut(words[1:])
	case "cutOneWay":
		f.network.SetFaults(relay.Pair{
			From: words[1],
			To:   words[2],
		}, relay.Faults{Cut: true})
	case "lossy":
		n, _ := strconv.Atoi(words[1])
		f.network.SetDefaultFaults(relay.Faults{
			Delay:             f.shape.delay,
			Jitter:            2 * time.Millisecond,
			LossPerMille:      n,
			DuplicatePerMille: n,
		})
	case "mend":
		f.network.ClearFaults()
		f.network.SetDefaultFaults(relay.Faults{Delay: f.shape.delay})
	case "silence":
		f.tcp(words[1]).Silence()
	case "reset":
		f.tcp(words[1]).Reset()
	case "away":
		f.network.SetFaults(relay.Pair{
			From: "nodes",
			To:   words[1],
		}, relay.Faults{Cut: true})
	case "leave":
		f.server(words[1]).engine.SetLeaving(true)
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
		f.node(words[1]).gone = true
	case "members":
		f.members(words[1:])
	case "race":
		f.race(f.node(words[1]), f.node(words[2]))
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
	f.shape.paying = prepaid
	var changes []catalog.Change
	for w := 1; w <= workspaces; w++ {
		changes = append(changes, catalog.Change{Body: catalog.Body{Budget: &f.budgets(w)[0]}})
	}
	f.mustApply(changes)
}

func (f *testFleet) tcp(name string) *relay.TCP {
	for _, p := range f.nodes {
		if p.name == name {
			return p.callers
		}
	}
	return f.server(name).relay
}

func (f *testFleet) plannedStop(p *nodeProcess) {
	if code := f.end(p, syscall.SIGTERM, 40*time.Second); code != 0 {
		f.t.Errorf("planned stop of %s: got exit code %d, want 0", p.name, code)
	}
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		f.t.Fatal(err)
	}
	if strings.Contains(string(text), `"event":104`) {
		f.t.Errorf("planned stop of %s cut something off", p.name)
	}
}

func (f *testFleet) wipe(p *nodeProcess) {
	if p.Running() {
		f.t.Errorf("wipe %s: it is running", p.name)
		return
	}
	if err := os.RemoveAll(p.settings.Control.DataFolder); err != nil {
		f.t.Error(err)
	}
}

func (f *testFleet) cut(words []string) {
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
			for _, pair := range []relay.Pair{{
				From: a,
				To:   b,
			}, {
				From: b,
				To:   a,
			}} {
				f.network.SetFaults(pair, relay.Faults{Cut: true})
			}
		}
	}
}

// race lets two operators send different tickets of one number through two nodes at
// once, and then again: exactly one must win, and both must hear the same.
func (f *testFleet) race(first, second *nodeProcess) {
	f.ticket++
	type result struct {
		code     int
		accepted bool
	}
	results := make(chan result, 2)
	for i, p := range []*nodeProcess{first, second} {
		go func() {
			answer := struct {
				Outcome struct {
					Accepted bool `json:"accepted"`
				} `json:"outcome"`
			}{}
			ticket := raceTicket(f.ticket, i)
			code := 503
			for range 100 {
				text, err := json.Marshal(ticket)
				if err != nil {
					break
				}
				got, err := f.admin(p, "PUT", fmt.Sprintf("/v1/tickets/%d", ticket.Number), text, &answer)
				if err == nil && got != 503 {
					code = got
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			results <- result{
				code:     code,
				accepted: answer.Outcome.Accepted,
			}
		}()
	}
	a, b := <-results, <-results
	if a.accepted == b.accepted {
		f.t.Errorf("two tickets of number %d: got %+v and %+v, want exactly one accepted", f.ticket, a, b)
	}
}

func raceTicket(number fleet.TicketNumber, version int) catalog.Ticket {
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

// members names the nodes that are to carry a control replica.
func (f *testFleet) members(names []string) {
	var changes []catalog.Change
	for _, name := range names {
		changes = append(changes, catalog.Change{Body: catalog.Body{Node: &catalog.Node{
			ID:      fleet.NodeID(name),
			Control: true,
		}}})
	}
	f.mustApply(changes)
}
