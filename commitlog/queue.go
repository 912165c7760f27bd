package commitlog

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Queue is a file of items that are appended and synced one by one, and dropped
// together once all have been dealt with.
type Queue struct {
	name string
	file File
}

// OpenQueue opens a queue and returns the items it holds.
func OpenQueue(disk Disk, name string) (*Queue, [][]byte, error) {
	names, err := disk.Names()
	if err != nil {
		return nil, nil, err
	}
	var data []byte
	if slices.Contains(names, name) {
		data, err = disk.Read(name)
		if err != nil {
			return nil, nil, err
		}
	}
	items, sound, err := readItems(data)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "commitlog: read %s", name)
	}
	file, err := disk.Open(name)
	if err != nil {
		return nil, nil, err
	}
	if err := file.Truncate(int64(sound)); err != nil {
		return nil, nil, eris.Wrapf(err, "commitlog: truncate %s", name)
	}
	if err := disk.SyncFolder(); err != nil {
		return nil, nil, err
	}
	return &Queue{
		name: name,
		file: file,
	}, items, nil
}

func readItems(data []byte) ([][]byte, int, error) {
	var items [][]byte
	at := 0
	for at < len(data) {
		payload, size, ok := nextRecord(data[at:])
		if !ok {
			return items, at, checkTail(data[at:], at)
		}
		items = append(items, slices.Clone(payload))
		at += size
	}
	return items, at, nil
}

// Append adds items and syncs them.
func (q *Queue) Append(items ...[]byte) error {
	if _, err := q.file.Write(frame(items)); err != nil {
		return eris.Wrapf(err, "commitlog: write %s", q.name)
	}
	return eris.Wrapf(q.file.Sync(), "commitlog: sync %s", q.name)
}

func frame(items [][]byte) []byte {
	var buffer []byte
	for _, item := range items {
		buffer = appendRecord(buffer, item)
	}
	return buffer
}

// ReplaceQueue puts a queue with these items in another's place.
func ReplaceQueue(disk Disk, name string, items ...[]byte) error {
	return ReplaceFile(disk, name, frame(items))
}

// Clear drops all items.
func (q *Queue) Clear() error {
	if err := q.file.Truncate(0); err != nil {
		return eris.Wrapf(err, "commitlog: truncate %s", q.name)
	}
	return eris.Wrapf(q.file.Sync(), "commitlog: sync %s", q.name)
}

// Close closes the file.
func (q *Queue) Close() error {
	return eris.Wrapf(q.file.Close(), "commitlog: close %s", q.name)
}
