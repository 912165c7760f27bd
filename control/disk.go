package control

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/event"
)

// A full disk ends no process. What could not be saved is saved again on a timer, and until then the
// replica takes no part in the group: it sends nothing that its disk would have to bear out, a leader
// resigns, and it does not announce itself, so that the others count it as gone.

const (
	// saveInterval is the time between two attempts to write to a full disk.
	saveInterval = 100 * time.Millisecond
	// compactInterval is the time between two attempts to write a snapshot or the contacts to a full disk.
	compactInterval = time.Second
	// openTimeout is how long a replica that starts waits for room on its disk.
	openTimeout = 8 * time.Second
)

// nextOutput returns the output that is to be saved: the one that could not be saved, or the next one.
func (r *Replica) nextOutput() consensus.Output {
	if r.unsaved != nil {
		return *r.unsaved
	}
	out := r.core.Output()
	r.send(out.BeforeSync)
	return out
}

// saveFailed handles an output that could not be saved.
func (r *Replica) saveFailed(out consensus.Output, err error) {
	if !commitlog.IsFull(err) {
		r.fail(err)
		return
	}
	now := clock.SinceBoot()
	r.saveAgainAt = now + saveInterval
	if r.unsaved != nil {
		return
	}
	r.unsaved = &out
	r.fullSince = now
	r.send(r.core.Resign())
	r.cfg.Log.Error(event.DiskFull).Str("state", "begun").Err(err).Msg("the disk is full; the control replica takes no part in the group until it can write")
}

func (r *Replica) saveSucceeded() {
	if r.unsaved == nil {
		return
	}
	r.unsaved = nil
	r.cfg.Log.Info(event.DiskFull).
		Str("state", "ended").
		Int64("lastedMillis", (clock.SinceBoot() - r.fullSince).Milliseconds()).
		Msg("the disk has room again")
}

// compactionFailed handles a snapshot that could not be written. The journal before it stays in use.
func (r *Replica) compactionFailed(err error) {
	if !commitlog.IsFull(err) {
		r.fail(err)
		return
	}
	r.compactAgainAt = clock.SinceBoot() + compactInterval
	r.cfg.Log.Warn(event.DiskFull).Str("state", "snapshot").Err(err).Msg("the disk has no room for a snapshot; the log grows meanwhile")
}

// canWrite reports whether nothing is left to be saved, and tries again if that is due.
func (r *Replica) canWrite(now time.Duration) bool {
	if r.unsaved != nil && now >= r.saveAgainAt {
		r.flush()
	}
	return r.failed == nil && r.unsaved == nil
}

// openJournal opens the replica's journal. If the disk is full it tries again for openTimeout.
func openJournal(cfg Config) (consensus.ReplicaID, *commitlog.Journal, commitlog.Contents, error) {
	for start := clock.SinceBoot(); ; time.Sleep(saveInterval) {
		id, journal, contents, err := tryOpenJournal(cfg.Disk)
		if err == nil || !commitlog.IsFull(err) || clock.SinceBoot()-start > openTimeout {
			return id, journal, contents, err
		}
	}
}

func tryOpenJournal(disk commitlog.Disk) (consensus.ReplicaID, *commitlog.Journal, commitlog.Contents, error) {
	id, err := replicaID(disk)
	if err != nil {
		return 0, nil, commitlog.Contents{}, err
	}
	journal, contents, err := commitlog.Open(disk, mainGroup)
	return id, journal, contents, err
}

// replicaID reads the replica id from the disk, or creates one if the disk has none.
func replicaID(disk commitlog.Disk) (consensus.ReplicaID, error) {
	const name = "replica-id"
	names, err := disk.Names()
	if err != nil {
		return 0, err
	}
	for _, n := range names {
		if n != name {
			continue
		}
		data, err := disk.Read(name)
		if err != nil {
			return 0, err
		}
		if len(data) == 8 {
			return consensus.ReplicaID(binary.BigEndian.Uint64(data)), nil
		}
		return 0, eris.Errorf("control: file %s has %d bytes, want 8", name, len(data))
	}
	raw := make([]byte, 8)
	if _, err := rand.Read(raw); err != nil {
		return 0, eris.Wrap(err, "control: generate a replica id")
	}
	return consensus.ReplicaID(binary.BigEndian.Uint64(raw)), commitlog.ReplaceFile(disk, name, raw)
}
