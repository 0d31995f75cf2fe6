package sqdisk

import (
	"slices"

	"golang.org/x/sys/unix"
)

// memFiles is a folder in memory that can lose what was not synced.
type memFiles struct {
	files map[string]*memFile
	// names are the files that last: their creation or renaming was synced.
	names    map[string]*memFile
	room     int
	failSync bool
}

type memFile struct {
	folder *memFiles
	data   []byte
	synced []byte
}

func newMemFiles() *memFiles {
	return &memFiles{files: map[string]*memFile{}, names: map[string]*memFile{}, room: 1 << 30}
}

func (m *memFiles) List() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	return names, nil
}

func (m *memFiles) Read(name string) ([]byte, error) {
	if m.files[name] == nil {
		return nil, unix.ENOENT
	}
	return slices.Clone(m.files[name].data), nil
}

func (m *memFiles) Create(name string) (File, error) {
	m.files[name] = &memFile{folder: m}
	return m.files[name], nil
}

func (m *memFiles) OpenAppend(name string) (File, error) { return m.files[name], nil }

func (m *memFiles) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFiles) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memFiles) SyncFolder() error {
	m.names = map[string]*memFile{}
	for name, f := range m.files {
		m.names[name] = f
	}
	return nil
}

// crash returns what a loss of power leaves.
func (m *memFiles) crash() *memFiles {
	left := newMemFiles()
	for name, f := range m.names {
		left.files[name] = &memFile{folder: left, data: slices.Clone(f.synced), synced: slices.Clone(f.synced)}
	}
	_ = left.SyncFolder()
	return left
}

func (f *memFile) Write(p []byte) (int, error) {
	n := min(len(p), f.folder.room)
	f.folder.room -= n
	f.data = append(f.data, p[:n]...)
	if n < len(p) {
		return n, unix.ENOSPC
	}
	return n, nil
}

func (f *memFile) Sync() error {
	if faultSync {
		return nil
	}
	if f.folder.failSync {
		return unix.EIO
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return nil
}

func (f *memFile) Close() error { return nil }
