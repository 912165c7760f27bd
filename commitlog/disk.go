package commitlog

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// File is an open file of a Disk.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Disk is the data folder. What is written lasts only once it is synced; what is
// created, renamed or removed lasts only once SyncFolder returns.
type Disk interface {
	// Names lists the folder's files in order.
	Names() ([]string, error)
	Read(name string) ([]byte, error)
	// Open opens a file for appending, and creates it where it is absent.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
}

// Folder is a Disk in a folder of the file system.
type Folder struct {
	path string
	lock *os.File
}

// OpenFolder opens a data folder, creating it if need be, and locks it against
// other processes.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, eris.Wrapf(err, "data folder %s: create", path)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "data folder %s: open the lock file", path)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, eris.Wrapf(err, "data folder %s: in use by another process", path)
	}
	return &Folder{
		path: path,
		lock: lock,
	}, nil
}

// Close unlocks the folder.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// Names implements Disk.
func (f *Folder) Names() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, eris.Wrapf(err, "data folder %s: list", f.path)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	sort.Strings(names)
	return names, nil
}

// Read implements Disk.
func (f *Folder) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(f.path, name))
	return data, eris.Wrapf(err, "data folder %s: read", f.path)
}

// Open implements Disk.
func (f *Folder) Open(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "data folder %s: open", f.path)
	}
	return file, nil
}

// Rename implements Disk.
func (f *Folder) Rename(from, to string) error {
	err := os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
	return eris.Wrapf(err, "data folder %s: rename", f.path)
}

// Remove implements Disk.
func (f *Folder) Remove(name string) error {
	return eris.Wrapf(os.Remove(filepath.Join(f.path, name)), "data folder %s: remove", f.path)
}

// SyncFolder implements Disk.
func (f *Folder) SyncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return eris.Wrapf(err, "data folder %s: open for sync", f.path)
	}
	syncErr := folder.Sync()
	if err := folder.Close(); err != nil && syncErr == nil {
		syncErr = err
	}
	return eris.Wrapf(syncErr, "data folder %s: sync", f.path)
}
