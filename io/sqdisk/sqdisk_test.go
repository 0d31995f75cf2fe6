package sqdisk

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqraft"
)

// smallSegmentBytes is so small that every few records start a new segment.
const smallSegmentBytes = 200

func openDisk(t testing.TB, files FS) *Disk {
	t.Helper()
	d, err := Open(Config{FS: files, SegmentBytes: smallSegmentBytes})
	assert.NilError(t, err)
	return d
}

// appendEntries writes an identity and the entries from first to last, one per
// record.
func appendEntries(t testing.TB, d *Disk, first, last uint64) {
	t.Helper()
	assert.NilError(t, d.SaveIdentity(&sqraft.IdentityRecord{Id: 7, Cluster: "c"}))
	for i := first; i <= last; i++ {
		assert.NilError(t, d.Append(&sqraft.HardState{Term: 2, Vote: i}, []*sqraft.Entry{entry(i, 2)}))
	}
}

func entry(index, term uint64) *sqraft.Entry {
	return &sqraft.Entry{Index: index, Term: term, Kind: sqraft.EntryKind_COMMAND, Command: fmt.Appendf(nil, "c%d", index)}
}

func expectEntries(t testing.TB, files FS, base uint64, indexes ...uint64) {
	t.Helper()
	d := openDisk(t, files)
	assert.Equal(t, d.Snapshot().GetIndex(), base)
	var found []uint64
	for _, e := range d.Entries() {
		found = append(found, e.GetIndex())
	}
	assert.DeepEqual(t, found, indexes)
}

func expectError(t testing.TB, err error, kind sqerror.Kind, file string) sqerror.Position {
	t.Helper()
	var e *sqerror.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	assert.Equal(t, e.Kind(), kind, "%v", err)
	assert.Equal(t, e.Position().File, file, "%v", err)
	return e.Position()
}

func TestSyncedRecordsSurviveCrash(t *testing.T) {
	files := newMemFS()
	appendEntries(t, openDisk(t, files), 1, 9)
	expectEntries(t, files.afterCrash(), 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
}

func TestLaterEntryReplacesTail(t *testing.T) {
	files := newMemFS()
	d := openDisk(t, files)
	appendEntries(t, d, 1, 5)
	assert.NilError(t, d.Append(nil, []*sqraft.Entry{entry(3, 3)}))
	expectEntries(t, files.afterCrash(), 0, 1, 2, 3)
}

func TestTornTailAtEveryByte(t *testing.T) {
	original := newMemFS()
	appendEntries(t, openDisk(t, original), 1, 2)
	name := numberedName(segmentPrefix, 1)
	data := original.files[name].data
	frame, err := encodeFrame(&sqraft.Record{HardState: &sqraft.HardState{Term: 2, Vote: 2}, Entries: []*sqraft.Entry{entry(2, 2)}})
	assert.NilError(t, err)
	for cut := len(data) - len(frame); cut < len(data); cut++ {
		for _, tail := range [][]byte{nil, make([]byte, len(data)-cut)} {
			if tail != nil && slices.Equal(data[cut:], tail) {
				continue
			}
			files := original.afterCrash()
			files.files[name].data = append(slices.Clone(data[:cut]), tail...)
			expectEntries(t, files, 0, 1)
			// The truncated log must accept new entries.
			d := openDisk(t, files)
			assert.NilError(t, d.Append(nil, []*sqraft.Entry{entry(2, 3)}))
			expectEntries(t, files, 0, 1, 2)
		}
	}
}

func TestFlippedByteInTheMiddle(t *testing.T) {
	original := newMemFS()
	d := openDisk(t, original)
	appendEntries(t, d, 1, 3)
	name := d.segments[0].name
	data := original.files[name].data
	frame, err := encodeFrame(&sqraft.Record{HardState: &sqraft.HardState{Term: 2, Vote: 3}, Entries: []*sqraft.Entry{entry(3, 2)}})
	assert.NilError(t, err)
	for i := range len(data) - len(frame) {
		files := original.afterCrash()
		files.files[name].data[i] ^= 1
		_, err := Open(Config{FS: files})
		place := expectError(t, err, sqerror.DamagedFile, name)
		assert.Assert(t, place.Offset <= int64(i) && int64(i) <= place.Offset+int64(len(frame)), "byte %d, place %v", i, place)
	}
}

// TestFlippedByteInTheLastRecord checks that a synced record with any one bit
// flipped is never mistaken for one that a crash truncated.
func TestFlippedByteInTheLastRecord(t *testing.T) {
	original := newMemFS()
	d := openDisk(t, original)
	appendEntries(t, d, 1, 2)
	name := d.segments[0].name
	data := original.files[name].data
	frame, err := encodeFrame(&sqraft.Record{HardState: &sqraft.HardState{Term: 2, Vote: 2}, Entries: []*sqraft.Entry{entry(2, 2)}})
	assert.NilError(t, err)
	first := len(data) - len(frame)
	for i := first; i < len(data); i++ {
		for bit := range 8 {
			files := original.afterCrash()
			files.files[name].data[i] ^= 1 << bit
			_, err := Open(Config{FS: files})
			assert.Assert(t, err != nil, "byte %d, bit %d", i-first, bit)
			assert.Equal(t, expectError(t, err, sqerror.DamagedFile, name).Offset, int64(first))
		}
	}
}

// TestTornSector checks that the last record is dropped when a crash left any one
// of its sectors unwritten.
func TestTornSector(t *testing.T) {
	original := newMemFS()
	appendEntries(t, openDisk(t, original), 1, 1)
	name := numberedName(segmentPrefix, 1)
	first := len(original.files[name].data)
	longEntry := entry(2, 2)
	longEntry.Command = bytes.Repeat([]byte{7}, 5*sectorBytes)
	d, err := Open(Config{FS: original})
	assert.NilError(t, err)
	assert.NilError(t, d.Append(nil, []*sqraft.Entry{longEntry}))
	size := len(original.files[name].data)
	for from := 0; from < size; from += sectorBytes {
		files := original.afterCrash()
		to := min(from+sectorBytes, size)
		clear(files.files[name].data[max(from, first):max(to, first)])
		expectEntries(t, files, 0, 1)
	}
}

func TestDamagedFiles(t *testing.T) {
	snapshot := numberedName(snapshotPrefix, 4)
	cases := map[string]struct {
		change func(m *memFS)
		place  string
	}{
		"identity flipped":  {func(m *memFS) { m.files[identityFile].data[26] ^= 1 }, identityFile},
		"identity missing":  {func(m *memFS) { delete(m.files, identityFile) }, identityFile},
		"snapshot flipped":  {func(m *memFS) { m.files[snapshot].data[26] ^= 1 }, snapshot},
		"snapshot cut":      {func(m *memFS) { m.files[snapshot].data = m.files[snapshot].data[:10] }, snapshot},
		"snapshot missing":  {func(m *memFS) { delete(m.files, snapshot) }, snapshot},
		"segment missing":   {func(m *memFS) { delete(m.files, numberedName(segmentPrefix, 4)) }, numberedName(segmentPrefix, 4)},
		"segment cut":       {func(m *memFS) { m.dropLastByte(numberedName(segmentPrefix, 4)) }, numberedName(segmentPrefix, 4)},
		"foreign file name": {func(m *memFS) { m.files["log-x"] = &memFile{fs: m} }, "log-x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			files := newMemFS()
			d := openDisk(t, files)
			appendEntries(t, d, 1, 6)
			assert.NilError(t, d.SaveSnapshot(&sqraft.Snapshot{Index: 4, Term: 2, State: []byte("state of four")}, false))
			appendEntries(t, d, 7, 20)
			c.change(files)
			_, err := Open(Config{FS: files})
			expectError(t, err, sqerror.DamagedFile, c.place)
		})
	}
}

func (m *memFS) dropLastByte(name string) {
	m.files[name].data = m.files[name].data[:len(m.files[name].data)-1]
}

func TestFailuresStopAllWrites(t *testing.T) {
	cases := map[string]func(m *memFS){
		"failed sync": func(m *memFS) { m.failSync = true },
		"full disk":   func(m *memFS) { m.freeBytes = 10 },
	}
	for name, breakDisk := range cases {
		t.Run(name, func(t *testing.T) {
			files := newMemFS()
			d := openDisk(t, files)
			appendEntries(t, d, 1, 2)
			breakDisk(files)
			err := d.Append(nil, []*sqraft.Entry{entry(3, 2)})
			expectError(t, err, sqerror.DiskFailed, numberedName(segmentPrefix, 1))
			files.freeBytes, files.failSync = 1<<20, false
			// A later successful sync does not make the failed write durable.
			assert.Assert(t, d.Append(nil, []*sqraft.Entry{entry(3, 2)}) != nil)
			assert.Assert(t, d.SaveSnapshot(&sqraft.Snapshot{Index: 1}, false) != nil)
			expectEntries(t, files.afterCrash(), 0, 1, 2)
		})
	}
}

func TestSnapshotTrimsLogAndSurvivesCrash(t *testing.T) {
	for _, c := range []struct {
		index, term uint64
		reset       bool
		want        []uint64
	}{
		{5, 2, false, []uint64{6, 7, 8, 9}},
		{9, 2, false, nil},
		{30, 4, true, nil},
		{5, 4, true, nil},
	} {
		files := newMemFS()
		d := openDisk(t, files)
		appendEntries(t, d, 1, 9)
		s := &sqraft.Snapshot{Index: c.index, Term: c.term, State: []byte("x")}
		// A crash between the snapshot and its mark must give the same entries.
		assert.NilError(t, d.writeFileAtomic(numberedName(snapshotPrefix, c.index), s))
		expectEntries(t, files.afterCrash(), c.index, c.want...)
		assert.NilError(t, d.SaveSnapshot(s, c.reset))
		expectEntries(t, files.afterCrash(), c.index, c.want...)
		last := d.segments[len(d.segments)-1].number
		next := c.index + uint64(len(c.want)) + 1
		appendEntries(t, d, next, next)
		expectEntries(t, files.afterCrash(), c.index, append(slices.Clone(c.want), next)...)
		assert.Assert(t, d.segments[0].number > 1 && last > 1)
	}
}

func TestFolderIsLocked(t *testing.T) {
	folder := t.TempDir()
	d, err := Open(Config{Folder: folder})
	assert.NilError(t, err)
	appendEntries(t, d, 1, 2)
	_, err = Open(Config{Folder: folder})
	expectError(t, err, sqerror.DiskFailed, d.path(lockFile))
	d.Close()
	d, err = Open(Config{Folder: folder})
	assert.NilError(t, err)
	assert.Equal(t, len(d.Entries()), 2)
	assert.Equal(t, d.Identity().GetId(), uint64(7))
	d.Close()
}

func FuzzLogFile(f *testing.F) {
	files := newMemFS()
	appendEntries(f, openDisk(f, files), 1, 3)
	name := numberedName(segmentPrefix, 1)
	f.Add(files.files[name].data, uint16(40), byte(1))
	f.Fuzz(func(t *testing.T, data []byte, at uint16, flip byte) {
		memory := files.afterCrash()
		if int(at) < len(data) {
			data = slices.Clone(data)
			data[at] ^= flip
		}
		memory.files[name].data = data
		d, err := Open(Config{FS: memory})
		if err != nil {
			assert.Equal(t, sqerror.KindOf(err), sqerror.DamagedFile)
			return
		}
		for i, e := range d.Entries() {
			assert.Equal(t, e.GetIndex(), d.Entries()[0].GetIndex()+uint64(i))
		}
	})
}
