package main

import (
	"fmt"
	"os"
	"time"
)

const (
	entryVMs = 2
	// foreignEntries are the entries of another writer in the platform's list: they name a service that
	// isn't in the manifest, at addresses where nothing listens.
	foreignEntries = 6
	calmTime       = 10 * time.Second
	// listedAfterCrash is how long a runner that has crashed remains on the list.
	listedAfterCrash = 5 * time.Second
	downTime         = time.Second
	// recoverTime is recover_s of the small sites, and measuredTime the span after it.
	recoverTime  = 12 * time.Second
	measuredTime = 20 * time.Second
)

// foreign has one of two runners crash just before the final fault, in which all processes are killed. The
// rule is RECOVER.
func foreign(recordPath string, trouble bool) (broken bool, err error) {
	w, err := newWorld(recordPath, deployment{
		losses:    1,
		zones:     []string{"zone-a", "zone-b", "zone-c"},
		contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
	})
	if err != nil {
		return false, err
	}
	defer w.close()
	if err := w.serveList(); err != nil {
		return false, err
	}
	var runners []*runner
	for i := range 2 {
		r, err := w.startRunner(fmt.Sprintf("i-%04d", i+1), "registry", 15+i)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	for i := range foreignEntries {
		if !trouble || os.Getenv("FOREIGN") == "0" {
			break
		}
		entry := runners[0].entry
		entry.ID, entry.Service = fmt.Sprintf("x-%04d", i+1), "another-service"
		entry.Address = fmt.Sprintf("%s:%d", w.address(18+i), w.ports.wire+26)
		w.list(entry)
	}
	var edges []*vm
	for i := range 3 + entryVMs {
		if v := w.addVM(i < 3); !v.core {
			edges = append(edges, v)
		}
	}
	all := append([]*vm(nil), w.vms...)
	for _, v := range all {
		if err := w.start(v, w.seeds(all), true); err != nil {
			return false, err
		}
	}
	if !newOperator(w).replace(1, startLimit) {
		return false, fmt.Errorf("the deployment does not start")
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	requests := startRequester(w, edges)
	time.Sleep(calmTime)
	fault := time.Now()
	if trouble {
		runners[1].crash()
		w.note("runner %s has crashed for good", runners[1].entry.ID)
		go func() {
			time.Sleep(listedAfterCrash)
			w.unlist(runners[1].entry.ID)
		}()
		for _, v := range all {
			w.kill(v)
		}
		time.Sleep(downTime)
		for _, v := range all {
			if err := w.run(v); err != nil {
				return false, err
			}
		}
	}
	back := time.Now()
	time.Sleep(recoverTime + measuredTime)
	requests.close()
	sentBefore, servedBefore := requests.served(began, fault)
	sent, served := requests.served(back.Add(recoverTime), time.Now())
	w.note("before: %d of %d served; later than %s after the machines were back: %d of %d served",
		servedBefore, sentBefore, recoverTime, served, sent)
	if 4*servedBefore < sentBefore {
		return false, fmt.Errorf("too little was served before the fault")
	}
	return 4*served < sent, nil
}
