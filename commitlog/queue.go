package commitlog

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Queue is a persistent list of items. Items are appended and synced as they
// arrive, and cleared together once all have been processed.
type Queue struct {
	name string
	file File
	// size is the size of the complete items, and torn is set if the file may have more.
	size int64
	torn bool
}

// OpenQueue opens or creates a queue and returns its items.
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
	items, validBytes, err := readItems(data)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "commitlog: read %s", name)
	}
	file, err := disk.Open(name)
	if err != nil {
		return nil, nil, err
	}
	if err := file.Truncate(int64(validBytes)); err != nil {
		return nil, nil, eris.Wrapf(err, "commitlog: truncate %s", name)
	}
	if err := disk.SyncFolder(); err != nil {
		return nil, nil, err
	}
	return &Queue{
		name: name,
		file: file,
		size: int64(validBytes),
	}, items, nil
}

func readItems(data []byte) ([][]byte, int, error) {
	var items [][]byte
	offset := 0
	for offset < len(data) {
		payload, size, ok := nextRecord(data[offset:])
		if !ok {
			return items, offset, rejectValidAfterDamage(data[offset:], offset)
		}
		items = append(items, slices.Clone(payload))
		offset += size
	}
	return items, offset, nil
}

// Append appends items and syncs the file. After an error none of the items counts as appended.
func (q *Queue) Append(items ...[]byte) error {
	if q.torn {
		if err := q.file.Truncate(q.size); err != nil {
			return eris.Wrapf(err, "commitlog: truncate %s", q.name)
		}
	}
	q.torn = true
	buffer := encodeItems(items)
	if _, err := q.file.Write(buffer); err != nil {
		return eris.Wrapf(err, "commitlog: write %s", q.name)
	}
	if err := q.file.Sync(); err != nil {
		return eris.Wrapf(err, "commitlog: sync %s", q.name)
	}
	q.size += int64(len(buffer))
	q.torn = false
	return nil
}

func encodeItems(items [][]byte) []byte {
	var buffer []byte
	for _, item := range items {
		buffer = appendRecord(buffer, item)
	}
	return buffer
}

// ReplaceQueue atomically replaces a queue's file by one that holds the given items.
func ReplaceQueue(disk Disk, name string, items ...[]byte) error {
	return ReplaceFile(disk, name, encodeItems(items))
}

// Clear removes all items and syncs the file.
func (q *Queue) Clear() error {
	if err := q.file.Truncate(0); err != nil {
		return eris.Wrapf(err, "commitlog: truncate %s", q.name)
	}
	q.size = 0
	return eris.Wrapf(q.file.Sync(), "commitlog: sync %s", q.name)
}

// Close closes the file.
func (q *Queue) Close() error {
	return eris.Wrapf(q.file.Close(), "commitlog: close %s", q.name)
}
