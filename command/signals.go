package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/waxwingreel/waxwingreel/event"
)

// interruptsToAbort is the number of SIGINTs that end a planned stop early. One SIGINT stops
// a node as SIGTERM does; a person who presses the key once more does not want to wait.
const interruptsToAbort = 2

// processSignals receives the signals of a running node. Each kind has a channel of its own,
// so that a burst of one kind does not displace another while nothing reads them.
type processSignals struct {
	terminate chan os.Signal
	interrupt chan os.Signal
	reload    chan os.Signal
}

// notifySignals starts to receive signals. A node calls it before it starts: an unhandled
// signal during the start would kill the process. SIGPIPE is ignored, since by default a
// write to a closed standard output ends the process; the log counts lines that it cannot
// write.
func notifySignals() *processSignals {
	s := &processSignals{
		terminate: make(chan os.Signal, 1),
		interrupt: make(chan os.Signal, interruptsToAbort),
		reload:    make(chan os.Signal, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM)
	signal.Notify(s.interrupt, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// awaitStop waits for a signal to stop or a failure of the node, and reports whether the
// node failed. It calls reload on SIGHUP. The number of SIGINTs received is 0 or 1.
func (s *processSignals) awaitStop(failed <-chan struct{}, reload func()) (interrupts int, nodeFailed bool) {
	for {
		select {
		case <-failed:
			return 0, true
		case <-s.terminate:
			return 0, false
		case <-s.interrupt:
			return 1, false
		case <-s.reload:
			reload()
		}
	}
}

// whileStopping returns a context that ends when the planned stop is to be cut short: after
// interruptsToAbort SIGINTs, including those already received. Supervisors repeat SIGTERM, and
// a change of the settings sends SIGHUP at any time, so both are logged and change nothing.
func (s *processSignals) whileStopping(log *event.Log, interrupts int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for interrupts < interruptsToAbort {
			ignored := os.Signal(nil)
			select {
			case <-ctx.Done():
				return
			case <-s.interrupt:
				interrupts++
				continue
			case ignored = <-s.terminate:
			case ignored = <-s.reload:
			}
			log.Info(event.SignalIgnored).Str("signal", ignored.String()).Msg("signal ignored: the node is stopping already")
		}
		cancel()
	}()
	return ctx, cancel
}
