package commitlog

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/rapidseed"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 500))
}

var errDisk = errors.New("disk failed")

// memoryDisk keeps what is synced apart from what is only written. A crash keeps
// the first and any part of the second.
type memoryDisk struct {
	files  map[string]*memoryFile
	synced map[string]*memoryFile
	// operationsLeft counts down to a failure; negative never fails.
	operationsLeft int
}

type memoryFile struct {
	disk    *memoryDisk
	data    []byte
	durable []byte
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{
		files:          map[string]*memoryFile{},
		synced:         map[string]*memoryFile{},
		operationsLeft: -1,
	}
}

func (d *memoryDisk) countOperation() error {
	if d.operationsLeft == 0 {
		return errDisk
	}
	d.operationsLeft--
	return nil
}

func (d *memoryDisk) Names() ([]string, error) {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *memoryDisk) Read(name string) ([]byte, error) {
	return bytes.Clone(d.files[name].data), nil
}

func (d *memoryDisk) Open(name string) (File, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	if d.files[name] == nil {
		d.files[name] = &memoryFile{disk: d}
	}
	return d.files[name], nil
}

func (d *memoryDisk) Rename(from, to string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memoryDisk) Remove(name string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *memoryDisk) SyncFolder() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.synced = map[string]*memoryFile{}
	for name, file := range d.files {
		d.synced[name] = file
	}
	return nil
}

// crash keeps what is synced, some bytes of what was written after, and some of the
// files that were created, renamed or removed after.
func (d *memoryDisk) crash(keep func(n int) int) {
	names := map[string]bool{}
	for name := range d.files {
		names[name] = true
	}
	for name := range d.synced {
		names[name] = true
	}
	after := map[string]*memoryFile{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		file := d.synced[name]
		if file != d.files[name] && keep(1) == 1 {
			file = d.files[name]
		}
		if file != nil {
			after[name] = file.afterCrash(d, keep)
		}
	}
	d.files = after
	d.synced = maps.Clone(after)
	d.operationsLeft = -1
}

func (f *memoryFile) afterCrash(d *memoryDisk, keep func(n int) int) *memoryFile {
	data := bytes.Clone(f.durable)
	if bytes.HasPrefix(f.data, f.durable) {
		data = bytes.Clone(f.data[:len(f.durable)+keep(len(f.data)-len(f.durable))])
	}
	return &memoryFile{
		disk:    d,
		data:    data,
		durable: bytes.Clone(data),
	}
}

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.disk.countOperation(); err != nil {
		return 0, err
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if err := f.disk.countOperation(); err != nil {
		return err
	}
	f.durable = bytes.Clone(f.data)
	return nil
}

func (f *memoryFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return nil
}

func (f *memoryFile) Close() error { return nil }

// journalModel is what a journal must hold: at least what was acknowledged, at most what
// was tried.
type journalModel struct {
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
}

func (m journalModel) save(hard *consensus.HardState, entries []consensus.Entry) journalModel {
	if hard != nil {
		m.hard = *hard
	}
	if len(entries) > 0 {
		at := entries[0].Index - m.snapshot.Index - 1
		m.entries = append(slices.Clone(m.entries[:at]), entries...)
	}
	return m
}

func (m journalModel) contents() Contents {
	return Contents{
		HardState: m.hard,
		Snapshot:  m.snapshot,
		Entries:   m.entries,
	}
}

func equalContents(a, b Contents) bool {
	return a.HardState == b.HardState && a.Snapshot.Index == b.Snapshot.Index && bytes.Equal(a.Snapshot.Data, b.Snapshot.Data) &&
		len(a.Entries) == len(b.Entries) && (len(a.Entries) == 0 || reflect.DeepEqual(a.Entries, b.Entries))
}

// TestCrash writes, snapshots and crashes at any operation. What was acknowledged is
// there after each crash.
func TestCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newMemoryDisk()
		held := journalModel{}
		j, _, err := Open(disk, 0)
		if err != nil {
			t.Fatal(err)
		}
		term := consensus.Term(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			tried := journalModel{}
			disk.operationsLeft = rapid.IntRange(-1, 12).Draw(t, "operations")
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 && len(held.entries) > 0 {
				tried, err = trySnapshot(t, j, held)
			} else {
				term++
				tried, err = trySave(t, j, held, term)
			}
			if err == nil {
				held = tried
				continue
			}
			disk.operationsLeft = -1
			if again := j.Save(&held.hard, nil); again == nil {
				t.Fatalf("a journal that failed took another write")
			}
			disk.crash(func(n int) int { return rapid.IntRange(0, n).Draw(t, "kept") })
			var got Contents
			j, got, err = Open(disk, 0)
			if err != nil {
				t.Fatalf("open after a crash: %v", err)
			}
			if !equalContents(got, held.contents()) && !partiallyWritten(got, held, tried) {
				t.Fatalf("after a crash:\ngot  %+v\nheld %+v\ntried %+v", got, held.contents(), tried.contents())
			}
			held = journalModel{
				hard:     got.HardState,
				snapshot: got.Snapshot,
				entries:  got.Entries,
			}
		}
	})
}

func trySave(t *rapid.T, j *Journal, held journalModel, term consensus.Term) (journalModel, error) {
	first := held.snapshot.Index + 1 + consensus.Index(rapid.IntRange(0, len(held.entries)).Draw(t, "at"))
	var entries []consensus.Entry
	for i := range rapid.IntRange(0, 4).Draw(t, "entries") {
		entries = append(entries, consensus.Entry{
			Index: first + consensus.Index(i),
			Term:  term,
			Kind:  consensus.EntryCommand,
			Data:  []byte(fmt.Sprintf("entry %d of term %d", i, term)),
		})
	}
	hard := &consensus.HardState{Term: term}
	return held.save(hard, entries), j.Save(hard, entries)
}

func trySnapshot(t *rapid.T, j *Journal, held journalModel) (journalModel, error) {
	n := rapid.IntRange(1, len(held.entries)).Draw(t, "compacted")
	tried := journalModel{
		hard: held.hard,
		snapshot: consensus.Snapshot{
			Index: held.entries[n-1].Index,
			Term:  held.entries[n-1].Term,
			Data:  []byte(fmt.Sprintf("state at %d", held.entries[n-1].Index)),
		},
		entries: held.entries[n:],
	}
	return tried, j.SaveSnapshot(tried.snapshot, tried.hard, tried.entries)
}

// partiallyWritten reports whether the contents are those of a write that was cut short: a
// prefix of its records behind what was held.
func partiallyWritten(got Contents, held, tried journalModel) bool {
	if got.Snapshot.Index != held.snapshot.Index {
		return equalContents(got, tried.contents())
	}
	if got.HardState != held.hard && got.HardState != tried.hard {
		return false
	}
	if got.Snapshot.Index != tried.snapshot.Index {
		return equalContents(got, held.contents())
	}
	common := 0
	for common < len(held.entries) && common < len(tried.entries) && reflect.DeepEqual(held.entries[common], tried.entries[common]) {
		common++
	}
	untouched := len(got.Entries) == len(held.entries) && equalContents(Contents{Entries: got.Entries}, Contents{Entries: held.entries})
	cut := len(got.Entries) >= common && len(got.Entries) <= len(tried.entries) && equalContents(Contents{Entries: got.Entries}, Contents{Entries: tried.entries[:len(got.Entries)]})
	return untouched || cut
}

func TestDamageInTheMiddleIsCorruption(t *testing.T) {
	disk := newMemoryDisk()
	j, _, err := Open(disk, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		entry := consensus.Entry{
			Index: consensus.Index(i + 1),
			Term:  1,
			Data:  []byte("some entry"),
		}
		if err := j.Save(nil, []consensus.Entry{entry}); err != nil {
			t.Fatal(err)
		}
	}
	disk.files["group-0-log-0"].data[recordHeaderBytes+5] ^= 0xff
	if _, _, err := Open(disk, 0); !eris.Is(err, ErrCorrupt) {
		t.Errorf("got error %v, want ErrCorrupt", err)
	}
}

func TestQueueSurvivesCrash(t *testing.T) {
	disk := newMemoryDisk()
	q, _, err := OpenQueue(disk, "q")
	if err != nil {
		t.Fatal(err)
	}
	if err := q.Append([]byte("a"), []byte("b")); err != nil {
		t.Fatal(err)
	}
	disk.operationsLeft = 1
	if err := q.Append([]byte("lost")); err == nil {
		t.Fatal("a failed sync was not reported")
	}
	disk.crash(func(n int) int { return n / 2 })
	_, items, err := OpenQueue(disk, "q")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprintf("%s", items), "[a b]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func FuzzReadRecords(f *testing.F) {
	sound, err := encodeRecords(&consensus.HardState{Term: 3}, []consensus.Entry{{
		Index: 1,
		Term:  3,
		Data:  []byte("x"),
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	f.Add(sound[:len(sound)-3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, size, err := readRecords(data)
		if err != nil {
			return
		}
		if size > len(data) {
			t.Fatalf("got size %d of %d bytes", size, len(data))
		}
		again, _, err := readRecords(data[:size])
		if err != nil || len(again) != len(records) {
			t.Fatalf("the sound part read again: got %d records and error %v, want %d", len(again), err, len(records))
		}
		contents := Contents{}
		_ = contents.replay(records)
	})
}
