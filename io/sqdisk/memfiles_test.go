package sqdisk

import (
	"slices"

	"golang.org/x/sys/unix"
)

// memFS implements FS in memory and can simulate the loss of unsynced data.
type memFS struct {
	files map[string]*memFile
	// durable holds the files whose creation or renaming was synced.
	durable   map[string]*memFile
	freeBytes int
	failSync  bool
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, freeBytes: 1 << 30}
}

func (m *memFS) List() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	return names, nil
}

func (m *memFS) Read(name string) ([]byte, error) {
	if m.files[name] == nil {
		return nil, unix.ENOENT
	}
	return slices.Clone(m.files[name].data), nil
}

func (m *memFS) Create(name string) (File, error) {
	m.files[name] = &memFile{fs: m}
	return m.files[name], nil
}

func (m *memFS) OpenAppend(name string) (File, error) { return m.files[name], nil }

func (m *memFS) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncFolder() error {
	m.durable = map[string]*memFile{}
	for name, f := range m.files {
		m.durable[name] = f
	}
	return nil
}

// afterCrash returns the files that remain after a power loss.
func (m *memFS) afterCrash() *memFS {
	recovered := newMemFS()
	for name, f := range m.durable {
		recovered.files[name] = &memFile{fs: recovered, data: slices.Clone(f.synced), synced: slices.Clone(f.synced)}
	}
	_ = recovered.SyncFolder()
	return recovered
}

func (f *memFile) Write(p []byte) (int, error) {
	n := min(len(p), f.fs.freeBytes)
	f.fs.freeBytes -= n
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
	if f.fs.failSync {
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
