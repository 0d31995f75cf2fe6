package sqcoordinator

import (
	"slices"
	"sync"

	"golang.org/x/sys/unix"

	"sequoiadock/io/sqdisk"
)

// unlimited is the free space of a disk that is never full.
const unlimited = 1 << 40

// limitedDisk implements sqdisk.FS in memory. It can be full.
type limitedDisk struct {
	mu    sync.Mutex
	files map[string]*limitedFile
	// freeBytes is how much can be written. What is removed makes no room.
	freeBytes int
	// refusedWrites counts the writes that found too little room since the last setFree.
	refusedWrites int
}

type limitedFile struct {
	disk *limitedDisk
	data []byte
}

func newLimitedDisk() *limitedDisk {
	return &limitedDisk{files: map[string]*limitedFile{}, freeBytes: unlimited}
}

// setFree sets how many bytes can be written.
func (d *limitedDisk) setFree(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes, d.refusedWrites = bytes, 0
}

// wasFull reports whether a write found too little room.
func (d *limitedDisk) wasFull() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusedWrites > 0
}

// wipe removes all files.
func (d *limitedDisk) wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.files)
}

func (d *limitedDisk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	return names, nil
}

func (d *limitedDisk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return nil, unix.ENOENT
	}
	return slices.Clone(d.files[name].data), nil
}

func (d *limitedDisk) Create(name string) (sqdisk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &limitedFile{disk: d}
	d.files[name] = f
	return f, nil
}

func (d *limitedDisk) OpenAppend(name string) (sqdisk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return nil, unix.ENOENT
	}
	return d.files[name], nil
}

func (d *limitedDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *limitedDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}

func (d *limitedDisk) SyncFolder() error { return nil }

// Write writes as much as there is room for.
func (f *limitedFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	n := min(len(p), f.disk.freeBytes)
	f.disk.freeBytes -= n
	f.data = append(f.data, p[:n]...)
	if n < len(p) {
		f.disk.refusedWrites++
		return n, unix.ENOSPC
	}
	return n, nil
}

func (f *limitedFile) Sync() error { return nil }

func (f *limitedFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.data = f.data[:size]
	return nil
}

func (f *limitedFile) Close() error { return nil }
