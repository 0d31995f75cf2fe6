package sqdisk

import (
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// FS gives access to the files in the folder of a Disk. Names carry no path.
type FS interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create creates an empty file, replacing an existing one.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes file creations, renames and removals durable.
	SyncFolder() error
}

// File is an open file.
type File interface {
	Write(p []byte) (int, error)
	// Sync makes all earlier writes durable.
	Sync() error
	Truncate(size int64) error
	Close() error
}

// osFS implements FS with a folder of the operating system.
type osFS struct {
	folder string
}

func newOSFS(folder string) (*osFS, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, err
	}
	return &osFS{folder: folder}, nil
}

func (f *osFS) path(name string) string { return filepath.Join(f.folder, name) }

// List implements FS.
func (f *osFS) List() ([]string, error) {
	dirEntries, err := os.ReadDir(f.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, dirEntry := range dirEntries {
		if dirEntry.Type().IsRegular() {
			names = append(names, dirEntry.Name())
		}
	}
	return names, nil
}

// Read implements FS.
func (f *osFS) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// Create implements FS.
func (f *osFS) Create(name string) (File, error) {
	return openFile(f.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

// OpenAppend implements FS.
func (f *osFS) OpenAppend(name string) (File, error) {
	return openFile(f.path(name), os.O_WRONLY|os.O_APPEND)
}

func openFile(path string, flag int) (File, error) {
	file, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return &osFile{file}, nil
}

// Rename implements FS.
func (f *osFS) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove implements FS.
func (f *osFS) Remove(name string) error { return os.Remove(f.path(name)) }

// SyncFolder implements FS.
func (f *osFS) SyncFolder() error {
	d, err := os.Open(f.folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// lock locks the folder against other processes until the returned file is
// closed.
func (f *osFS) lock(name string) (*os.File, error) {
	file, err := os.OpenFile(f.path(name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

type osFile struct {
	*os.File
}

// Sync implements File. It calls fdatasync, which syncs the data and the size of
// the file but not its timestamps, which nothing reads.
func (f *osFile) Sync() error {
	if faultSync {
		return nil
	}
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}
