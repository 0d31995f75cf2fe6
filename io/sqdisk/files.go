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

// FS is the folder that a Disk writes to. Names are without a path.
type FS interface {
	// List returns the names of all files.
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create makes an empty file, also in place of another.
	Create(name string) (File, error)
	// OpenAppend opens a file for writing at its end.
	OpenAppend(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes creations, renames and removals last.
	SyncFolder() error
}

// File is an open file.
type File interface {
	Write(p []byte) (int, error)
	// Sync makes what was written last.
	Sync() error
	Truncate(size int64) error
	Close() error
}

// osFiles is a folder of the operating system.
type osFiles struct {
	folder string
}

func newOSFiles(folder string) (*osFiles, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, err
	}
	return &osFiles{folder: folder}, nil
}

func (f *osFiles) path(name string) string { return filepath.Join(f.folder, name) }

// List implements Files.
func (f *osFiles) List() ([]string, error) {
	items, err := os.ReadDir(f.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, item := range items {
		if item.Type().IsRegular() {
			names = append(names, item.Name())
		}
	}
	return names, nil
}

// Read implements Files.
func (f *osFiles) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// Create implements Files.
func (f *osFiles) Create(name string) (File, error) {
	return open(f.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

// OpenAppend implements Files.
func (f *osFiles) OpenAppend(name string) (File, error) {
	return open(f.path(name), os.O_WRONLY|os.O_APPEND)
}

func open(path string, flag int) (File, error) {
	file, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return &osFile{file}, nil
}

// Rename implements Files.
func (f *osFiles) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove implements Files.
func (f *osFiles) Remove(name string) error { return os.Remove(f.path(name)) }

// SyncFolder implements Files.
func (f *osFiles) SyncFolder() error {
	d, err := os.Open(f.folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// lock keeps other processes out of the folder until the file is closed.
func (f *osFiles) lock(name string) (*os.File, error) {
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

// Sync implements File. The size of the file is synced with the data, but not
// its times, which nothing reads.
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
