package commitlog

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// File is a file that is open for appending.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Disk is the file system interface to the data folder. Written data is durable only
// after File.Sync, and the creation, renaming or removal of a file only after
// SyncFolder.
type Disk interface {
	// Names returns the sorted names of the folder's files.
	Names() ([]string, error)
	Read(name string) ([]byte, error)
	// Open opens a file for appending, and creates it if it does not exist.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
}

// Folder is a Disk in a folder of the operating system's file system.
type Folder struct {
	path string
	lock *os.File
}

// OpenFolder opens a data folder and locks it against other processes. It creates
// the folder if it does not exist.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, eris.Wrapf(err, "create data folder %s", path)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "open the lock file of data folder %s", path)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, eris.Wrapf(err, "lock data folder %s, which another process may be using", path)
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
		return nil, eris.Wrapf(err, "list data folder %s", f.path)
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
	return data, eris.Wrapf(err, "read a file of data folder %s", f.path)
}

// Open implements Disk.
func (f *Folder) Open(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "open a file of data folder %s", f.path)
	}
	return file, nil
}

// Rename implements Disk.
func (f *Folder) Rename(from, to string) error {
	err := os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
	return eris.Wrapf(err, "rename a file of data folder %s", f.path)
}

// Remove implements Disk.
func (f *Folder) Remove(name string) error {
	return eris.Wrapf(os.Remove(filepath.Join(f.path, name)), "remove a file of data folder %s", f.path)
}

// SyncFolder implements Disk.
func (f *Folder) SyncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return eris.Wrapf(err, "open data folder %s to sync it", f.path)
	}
	syncErr := folder.Sync()
	if err := folder.Close(); err != nil && syncErr == nil {
		syncErr = err
	}
	return eris.Wrapf(syncErr, "sync data folder %s", f.path)
}
