// Package commitlog stores the term, vote, log and snapshot of a consensus group in
// the data folder.
//
// Generation g of the journal consists of the file log-g, which holds records of
// the term, the vote and the entries, and, from generation 1 on, the file
// snapshot-g, which replaces all entries before those of the log. Saving a snapshot
// writes the next generation completely before it removes the previous one:
//
//	write and sync snapshot-4
//	write and sync log-4.new (term, vote, entries after the snapshot)
//	sync the folder
//	rename log-4.new to log-4
//	sync the folder
//	remove log-3 and snapshot-3
//
// A crash at any point leaves one complete generation, because log-g exists only if
// its generation is completely synced. Open reads the highest generation.
package commitlog

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"syscall"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Contents is the state that is read from a journal.
type Contents struct {
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
}

// Journal stores the Raft state of one group. An error for which IsFull reports true changes
// nothing that was saved before, and the same save may be tried again. After any other error
// the journal rejects all further writes, since a failed sync leaves the state on disk
// unknown. It is not safe for concurrent use.
type Journal struct {
	disk       Disk
	prefix     string
	generation uint64
	log        File
	logBytes   int64
	// unsettled is set while the log file may have more than logBytes, or is not open.
	unsettled bool
	// obsolete are the files of earlier generations that are yet to be removed.
	obsolete []string
	failure  error
}

// IsFull reports whether an error says that the disk has no room.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Open reads the latest complete generation of a group, or creates the first one.
func Open(disk Disk, group fleet.GroupID) (*Journal, Contents, error) {
	j := &Journal{
		disk:   disk,
		prefix: fmt.Sprintf("group-%d-", group),
	}
	names, err := disk.Names()
	if err != nil {
		return nil, Contents{}, err
	}
	j.generation = j.newestGeneration(names)
	contents, err := j.load(names)
	if err != nil {
		return nil, Contents{}, err
	}
	if err := j.removeObsoleteFiles(names); err != nil {
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

func (j *Journal) newestGeneration(names []string) uint64 {
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
			content, err := j.disk.Read(name)
			if err != nil {
				return Contents{}, err
			}
			data = content
		}
	}
	records, validBytes, err := readRecords(data)
	if err != nil {
		return Contents{}, eris.Wrapf(err, "commitlog: read %s", j.logName())
	}
	if err := contents.replay(records); err != nil {
		return Contents{}, eris.Wrapf(err, "commitlog: replay %s", j.logName())
	}
	return contents, j.openLog(int64(validBytes))
}

func (j *Journal) openLog(size int64) error {
	file, err := j.disk.Open(j.logName())
	if err != nil {
		return err
	}
	// A torn record at the end must be removed before new records follow it.
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
		return snapshot, eris.Wrapf(ErrCorrupt, "read %s: bad checksum or size", j.snapshotName())
	}
	if err := cbor.Unmarshal(payload, &snapshot); err != nil {
		return snapshot, eris.Wrapf(ErrCorrupt, "decode %s: %v", j.snapshotName(), err)
	}
	return snapshot, nil
}

// replay applies the records of a log file in order. An entry whose index is already
// present replaces all entries from that index on.
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
			return eris.Wrapf(ErrCorrupt, "entry %d precedes the snapshot's end or follows a gap; last entry is %d", r.Entry.Index, next-1)
		}
		c.Entries = append(c.Entries[:r.Entry.Index-first], *r.Entry)
	}
	return nil
}

func (j *Journal) removeObsoleteFiles(names []string) error {
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

// Save appends and syncs the entries and, if hard is not nil, the term and vote.
func (j *Journal) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	buffer, err := encodeRecords(hard, entries)
	if err != nil {
		return j.fail(err)
	}
	if len(buffer) == 0 {
		return nil
	}
	if err := j.settle(); err != nil {
		return j.fail(err)
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

// SaveSnapshot replaces the journal's contents by a snapshot, the term and vote, and
// the entries that follow the snapshot.
func (j *Journal) SaveSnapshot(snapshot consensus.Snapshot, hard consensus.HardState, entries []consensus.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	if err := j.startNextGeneration(snapshot, hard, entries); err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) startNextGeneration(snapshot consensus.Snapshot, hard consensus.HardState, entries []consensus.Entry) error {
	next := &Journal{
		disk:       j.disk,
		prefix:     j.prefix,
		generation: j.generation + 1,
	}
	size, err := next.write(snapshot, hard, entries)
	if err != nil {
		// What was written takes room that the log may need.
		_ = j.disk.Remove(next.snapshotName())
		_ = j.disk.Remove(next.logName() + ".new")
		return err
	}
	// From here on a restart may read the new generation, so nothing more may go to the old one.
	if j.log != nil {
		_ = j.log.Close()
	}
	j.obsolete = append(j.obsolete, j.logName())
	if j.generation > 0 {
		j.obsolete = append(j.obsolete, j.snapshotName())
	}
	j.generation, j.log, j.logBytes, j.unsettled = next.generation, nil, size, true
	return j.settle()
}

// write writes and syncs the files of a generation and returns the size of the log.
func (j *Journal) write(snapshot consensus.Snapshot, hard consensus.HardState, entries []consensus.Entry) (int64, error) {
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return 0, eris.Wrap(err, "commitlog: encode snapshot")
	}
	if err := writeFile(j.disk, j.snapshotName(), appendRecord(nil, payload)); err != nil {
		return 0, err
	}
	tail, err := encodeRecords(&hard, entries)
	if err != nil {
		return 0, err
	}
	if err := writeFile(j.disk, j.logName()+".new", tail); err != nil {
		return 0, err
	}
	if err := j.disk.SyncFolder(); err != nil {
		return 0, err
	}
	return int64(len(tail)), j.disk.Rename(j.logName()+".new", j.logName())
}

// settle removes what an interrupted save has left behind. New records may follow only then: the part of a record
// before them would count as damage.
func (j *Journal) settle() error {
	if !j.unsettled {
		return nil
	}
	if j.log != nil {
		_ = j.log.Close()
		j.log = nil
	}
	if err := j.openLog(j.logBytes); err != nil {
		return err
	}
	for len(j.obsolete) > 0 {
		if err := j.disk.Remove(j.obsolete[0]); err != nil {
			return err
		}
		j.obsolete = j.obsolete[1:]
	}
	j.unsettled = false
	return nil
}

// ReplaceFile atomically replaces the contents of a file and syncs them. After a
// crash the file has either its old or its new contents.
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
	if err := replaceContents(file, data); err != nil {
		_ = file.Close()
		return eris.Wrapf(err, "commitlog: write %s", name)
	}
	return eris.Wrapf(file.Close(), "commitlog: close %s", name)
}

func replaceContents(file File, data []byte) error {
	// An earlier attempt may have left a file of this name.
	if err := file.Truncate(0); err != nil {
		return eris.Wrap(err, "truncate the file")
	}
	if _, err := file.Write(data); err != nil {
		return err
	}
	return eris.Wrap(file.Sync(), "sync the file")
}

// fail returns the error. Unless the disk is full it is final.
func (j *Journal) fail(err error) error {
	if IsFull(err) {
		j.unsettled = true
	} else {
		j.failure = err
	}
	return err
}

// Close closes the log file.
func (j *Journal) Close() error {
	if j.log == nil {
		return nil
	}
	return eris.Wrap(j.log.Close(), "commitlog: close journal")
}
