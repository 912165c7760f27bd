// Package commitlog keeps one consensus group's term, vote, log and snapshot in the
// data folder.
//
// A generation g of the journal is the file log-g, which holds records of the
// term, the vote and the entries, and, from generation 1 on, snapshot-g, which
// replaces all entries before the log's. Taking a snapshot writes the next
// generation whole and only then removes the last one:
//
//	write and sync snapshot-4, write and sync log-4.new (term, vote, entries
//	behind the snapshot), rename log-4.new to log-4, sync the folder, remove
//	log-3 and snapshot-3
//
// A crash at any point leaves one whole generation: log-g is there only if all of
// its generation was synced. Opening takes the highest one.
package commitlog

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Contents is what a journal holds.
type Contents struct {
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
}

// Journal appends to one group's files. After an error it takes nothing more: a
// failed sync leaves it unknown what is on the disk. It is not safe for
// concurrent use.
type Journal struct {
	disk       Disk
	prefix     string
	generation uint64
	log        File
	logBytes   int64
	failed     error
}

// Open reads a group's newest whole generation, or starts the first one.
func Open(disk Disk, group fleet.GroupID) (*Journal, Contents, error) {
	j := &Journal{
		disk:   disk,
		prefix: fmt.Sprintf("group-%d-", group),
	}
	names, err := disk.Names()
	if err != nil {
		return nil, Contents{}, err
	}
	j.generation = j.newest(names)
	contents, err := j.load(names)
	if err != nil {
		return nil, Contents{}, err
	}
	if err := j.removeOthers(names); err != nil {
		return nil, Contents{}, err
	}
	return j, contents, nil
}

func (j *Journal) logName() string {
	return j.prefix + "log-" + strconv.FormatUint(j.generation, 10)
}

func (j *Journal) snapshotName() string {
	return j.prefix + "snapshot-" + strconv.FormatUint(j.generation, 10)
}

func (j *Journal) newest(names []string) uint64 {
	newest := uint64(0)
	for _, name := range names {
		text, ok := strings.CutPrefix(name, j.prefix+"log-")
		if !ok {
			continue
		}
		if g, err := strconv.ParseUint(text, 10, 64); err == nil {
			newest = max(newest, g)
		}
	}
	return newest
}

func (j *Journal) load(names []string) (Contents, error) {
	contents := Contents{}
	if j.generation > 0 {
		snapshot, err := j.readSnapshot()
		if err != nil {
			return Contents{}, err
		}
		contents.Snapshot = snapshot
	}
	data := []byte(nil)
	for _, name := range names {
		if name == j.logName() {
			read, err := j.disk.Read(name)
			if err != nil {
				return Contents{}, err
			}
			data = read
		}
	}
	records, sound, err := readRecords(data)
	if err != nil {
		return Contents{}, eris.Wrapf(err, "commitlog: read %s", j.logName())
	}
	if err := contents.replay(records); err != nil {
		return Contents{}, eris.Wrapf(err, "commitlog: replay %s", j.logName())
	}
	return contents, j.openLog(int64(sound))
}

func (j *Journal) openLog(size int64) error {
	file, err := j.disk.Open(j.logName())
	if err != nil {
		return err
	}
	// The torn tail must be gone before anything is written behind it.
	if err := file.Truncate(size); err != nil {
		return eris.Wrapf(err, "commitlog: truncate %s", j.logName())
	}
	if err := file.Sync(); err != nil {
		return eris.Wrapf(err, "commitlog: sync %s", j.logName())
	}
	j.log = file
	j.logBytes = size
	return j.disk.SyncFolder()
}

func (j *Journal) readSnapshot() (consensus.Snapshot, error) {
	data, err := j.disk.Read(j.snapshotName())
	if err != nil {
		return consensus.Snapshot{}, err
	}
	snapshot := consensus.Snapshot{}
	payload, size, ok := nextRecord(data)
	if !ok || size != len(data) {
		return snapshot, eris.Wrapf(ErrCorrupt, "%s: bad checksum or size", j.snapshotName())
	}
	if err := cbor.Unmarshal(payload, &snapshot); err != nil {
		return snapshot, eris.Wrapf(ErrCorrupt, "%s: %v", j.snapshotName(), err)
	}
	return snapshot, nil
}

// replay applies a log file's records in order. A later entry with an earlier
// index replaces all from there on.
func (c *Contents) replay(records []record) error {
	for _, r := range records {
		if r.HardState != nil {
			c.HardState = *r.HardState
		}
		if r.Entry == nil {
			continue
		}
		first := c.Snapshot.Index + 1
		next := first + consensus.Index(len(c.Entries))
		if r.Entry.Index < first || r.Entry.Index > next {
			return eris.Wrapf(ErrCorrupt, "entry %d follows entry %d", r.Entry.Index, next-1)
		}
		c.Entries = append(c.Entries[:r.Entry.Index-first], *r.Entry)
	}
	return nil
}

func (j *Journal) removeOthers(names []string) error {
	for _, name := range names {
		if !strings.HasPrefix(name, j.prefix) || name == j.logName() || name == j.snapshotName() {
			continue
		}
		if err := j.disk.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// Save appends and syncs a term and vote, where given, and entries.
func (j *Journal) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if j.failed != nil {
		return j.failed
	}
	buffer, err := encodeRecords(hard, entries)
	if err != nil {
		return j.fail(err)
	}
	if len(buffer) == 0 {
		return nil
	}
	if _, err := j.log.Write(buffer); err != nil {
		return j.fail(eris.Wrapf(err, "commitlog: write %s", j.logName()))
	}
	if err := j.log.Sync(); err != nil {
		return j.fail(eris.Wrapf(err, "commitlog: sync %s", j.logName()))
	}
	j.logBytes += int64(len(buffer))
	return nil
}

func encodeRecords(hard *consensus.HardState, entries []consensus.Entry) ([]byte, error) {
	var buffer []byte
	var err error
	if hard != nil {
		buffer, err = encodeRecord(buffer, record{HardState: hard})
		if err != nil {
			return nil, err
		}
	}
	for i := range entries {
		buffer, err = encodeRecord(buffer, record{Entry: &entries[i]})
		if err != nil {
			return nil, err
		}
	}
	return buffer, nil
}

// LogBytes returns the size of the log file.
func (j *Journal) LogBytes() int64 {
	return j.logBytes
}

// SaveSnapshot replaces the journal by a snapshot, the term and vote, and the
// entries that follow the snapshot.
func (j *Journal) SaveSnapshot(snapshot consensus.Snapshot, hard consensus.HardState, entries []consensus.Entry) error {
	if j.failed != nil {
		return j.failed
	}
	if err := j.nextGeneration(snapshot, hard, entries); err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) nextGeneration(snapshot consensus.Snapshot, hard consensus.HardState, entries []consensus.Entry) error {
	oldLog, oldLogName, oldSnapshotName := j.log, j.logName(), j.snapshotName()
	j.generation++
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return eris.Wrap(err, "commitlog: encode a snapshot")
	}
	if err := writeFile(j.disk, j.snapshotName(), appendRecord(nil, payload)); err != nil {
		return err
	}
	tail, err := encodeRecords(&hard, entries)
	if err != nil {
		return err
	}
	if err := writeFile(j.disk, j.logName()+".new", tail); err != nil {
		return err
	}
	if err := j.disk.SyncFolder(); err != nil {
		return err
	}
	if err := j.disk.Rename(j.logName()+".new", j.logName()); err != nil {
		return err
	}
	if err := j.openLog(int64(len(tail))); err != nil {
		return err
	}
	_ = oldLog.Close()
	if err := j.disk.Remove(oldLogName); err != nil {
		return err
	}
	if j.generation > 1 {
		return j.disk.Remove(oldSnapshotName)
	}
	return nil
}

// ReplaceFile puts a file in another's place, whole and synced, or leaves the other.
func ReplaceFile(disk Disk, name string, data []byte) error {
	if err := writeFile(disk, name+".new", data); err != nil {
		return err
	}
	if err := disk.Rename(name+".new", name); err != nil {
		return err
	}
	return disk.SyncFolder()
}

func writeFile(disk Disk, name string, data []byte) error {
	file, err := disk.Open(name)
	if err != nil {
		return err
	}
	// A crashed earlier try may have left a file of this name.
	if err := file.Truncate(0); err != nil {
		return eris.Wrapf(err, "commitlog: truncate %s", name)
	}
	if _, err := file.Write(data); err != nil {
		return eris.Wrapf(err, "commitlog: write %s", name)
	}
	if err := file.Sync(); err != nil {
		return eris.Wrapf(err, "commitlog: sync %s", name)
	}
	return eris.Wrapf(file.Close(), "commitlog: close %s", name)
}

func (j *Journal) fail(err error) error {
	j.failed = err
	return err
}

// Close closes the log file.
func (j *Journal) Close() error {
	return eris.Wrap(j.log.Close(), "commitlog: close")
}
