package main

import (
	"fmt"
	"os"
	"time"
)

const (
	recoverCoreVMs  = 3
	recoverEntryVMs = 2
	calmTime        = 10 * time.Second
	downTime        = time.Second
	// recoverTime is recover_s of the small sites, and measuredTime the span after it.
	recoverTime  = 12 * time.Second
	measuredTime = 20 * time.Second
)

// recovery is a run in which runners crash just before the final fault, in which all processes are killed.
// The rule is RECOVER.
type recovery struct {
	// foreignEntries are the entries of another writer in the platform's list: they name a service that
	// isn't in the manifest, at addresses where nothing listens.
	foreignEntries int
	// runners is the number of runners, crashes that of those that crash.
	runners, crashes int
	// listedFor is how long a runner that has crashed remains on the list.
	listedFor time.Duration
	// downFor is how long the runners are down, 0 if they are lost for good.
	downFor time.Duration
}

// foreign has foreign entries in the list and loses one of two runners.
func foreign(recordPath string, trouble bool) (broken bool, err error) {
	r := recovery{
		foreignEntries: 14,
		runners:        2,
		crashes:        1,
		listedFor:      5 * time.Second,
	}
	if os.Getenv("FOREIGN") == "0" {
		r.foreignEntries = 0
	}
	return r.play(recordPath, trouble)
}

// emptied has the runners of a rack crash. They leave the list, and come back.
func emptied(recordPath string, trouble bool) (broken bool, err error) {
	r := recovery{
		runners:   2,
		crashes:   2,
		listedFor: 3 * time.Second,
		downFor:   5 * time.Second,
	}
	if os.Getenv("LISTED") == "1" {
		r.listedFor = r.downFor
	}
	return r.play(recordPath, trouble)
}

func (r recovery) play(recordPath string, trouble bool) (broken bool, err error) {
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
	for i := range r.runners {
		started, err := w.startRunner(fmt.Sprintf("i-%04d", i+1), "registry", 15+i)
		if err != nil {
			return false, err
		}
		runners = append(runners, started)
	}
	for i := range r.foreignEntries {
		if !trouble {
			break
		}
		entry := runners[0].entry
		entry.ID, entry.Service = fmt.Sprintf("x-%04d", i+1), "another-service"
		entry.Address = fmt.Sprintf("%s:%d", w.address(18+i), w.ports.wire+26)
		w.list(entry)
	}
	var edges []*vm
	for i := range recoverCoreVMs + recoverEntryVMs {
		if v := w.addVM(i < recoverCoreVMs); !v.core {
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
	w.checkReady(edges)
	began := time.Now()
	requests := startRequester(w, edges)
	time.Sleep(calmTime)
	fault := time.Now()
	if trouble {
		for i, crashed := range runners[r.runners-r.crashes:] {
			go r.crash(w, crashed, 10+i)
		}
		if err := w.killAll(all); err != nil {
			return false, err
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

// crash ends a runner. It leaves the list later, and may come back as a new lifetime.
func (r recovery) crash(w *world, crashed *runner, number int) {
	began := time.Now()
	crashed.crash()
	w.note("runner %s has crashed", crashed.entry.ID)
	time.Sleep(r.listedFor)
	w.unlist(crashed.entry.ID)
	if r.downFor == 0 {
		return
	}
	time.Sleep(r.downFor - time.Since(began))
	if _, err := w.startRunner(fmt.Sprintf("i-%04d", number), crashed.entry.Service, 5+number); err != nil {
		w.note("%v", err)
	}
}

// killAll kills all processes and starts them again with their disks. It is no longer the first start.
func (w *world) killAll(all []*vm) error {
	for _, v := range all {
		w.kill(v)
	}
	time.Sleep(downTime)
	for _, v := range all {
		if err := w.start(v, w.seeds(all), false); err != nil {
			return err
		}
	}
	return nil
}
