// Package sqdisk stores the state of a Raft replica in one folder: an append-only
// log in segments, snapshots and the identity. Data is durable only once it is
// synced.
package sqdisk

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqraft"
)

const (
	identityFile   = "identity"
	lockFile       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	// defaultSegmentBytes is the size at which a new segment begins.
	defaultSegmentBytes = 4 << 20
)

// Config configures a Disk.
type Config struct {
	Folder string
	// FS, when set, is used instead of Folder.
	FS FS
	// SegmentBytes is the size at which a new segment begins; 0 means the
	// default.
	SegmentBytes int
}

// Disk reads and writes the files of one open folder. It is not safe for
// concurrent use.
type Disk struct {
	cfg          Config
	fs           FS
	lock         *os.File
	identity     *sqraft.IdentityRecord
	snapshot     *sqraft.Snapshot
	hardState    *sqraft.HardState
	entries      []*sqraft.Entry
	droppedBytes int
	// baseIndex is the index of the last entry that the snapshot covers.
	baseIndex  uint64
	segments   []*segment
	activeFile File
	syncs      uint64
	failed     error
}

// segment is one file of the log.
type segment struct {
	name   string
	number uint64
	bytes  int
	// highestIndex is the highest index among the entries of the segment.
	highestIndex uint64
}

func (s *segment) recordIndex(index uint64) { s.highestIndex = max(s.highestIndex, index) }

// Open opens the folder and reads all its files. It drops a last record that a
// crash truncated. Errors are of the kinds DamagedFile, with the file and the
// byte offset, and DiskFailed.
func Open(cfg Config) (*Disk, error) {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	d := &Disk{cfg: cfg, fs: cfg.FS}
	if err := d.openFolder(); err != nil {
		return nil, err
	}
	if err := d.load(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Disk) openFolder() error {
	if d.fs != nil {
		return nil
	}
	files, err := newOSFS(d.cfg.Folder)
	if err != nil {
		return d.readError("", err)
	}
	d.fs = files
	d.lock, err = files.lock(lockFile)
	if err != nil {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.DiskFailed, Detail: "cannot lock the folder",
			Advice:   "is another process running on it?",
			Position: sqerror.Position{File: d.path(lockFile)}, Cause: err,
		})
	}
	return nil
}

func (d *Disk) load() error {
	names, err := d.fs.List()
	if err != nil {
		return d.readError("", err)
	}
	slices.Sort(names)
	if err := d.loadIdentity(names); err != nil {
		return err
	}
	if err := d.loadSnapshot(names); err != nil {
		return err
	}
	if err := d.loadLog(names); err != nil {
		return err
	}
	emptyLog := d.snapshot == nil && d.hardState.GetTerm() == 0 && len(d.entries) == 0
	if d.identity == nil && !emptyLog {
		return d.damagedError(identityFile, 0, "the identity is missing but there is a log")
	}
	return nil
}

func (d *Disk) loadIdentity(names []string) error {
	if !slices.Contains(names, identityFile) {
		return nil
	}
	record := &sqraft.IdentityRecord{}
	if err := d.readSingleFrame(identityFile, record); err != nil {
		return err
	}
	d.identity = record
	return nil
}

// loadSnapshot reads the newest snapshot and removes temporary files that a crash
// left behind.
func (d *Disk) loadSnapshot(names []string) error {
	var newest string
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := d.fs.Remove(name); err != nil {
				return d.markFailed(name, err)
			}
			continue
		}
		if strings.HasPrefix(name, snapshotPrefix) {
			newest = name
		}
	}
	if newest == "" {
		return nil
	}
	s := &sqraft.Snapshot{}
	if err := d.readSingleFrame(newest, s); err != nil {
		return err
	}
	d.snapshot = s
	return nil
}

// readSingleFrame reads a file that consists of exactly one frame into m.
func (d *Disk) readSingleFrame(name string, m proto.Message) error {
	data, err := d.fs.Read(name)
	if err != nil {
		return d.readError(name, err)
	}
	payload, size, state := decodeFrame(data)
	if state != frameValid || size != len(data) {
		return d.damagedError(name, 0, "the file fails its checksum")
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return d.damagedError(name, 0, "the file cannot be decoded")
	}
	return nil
}

// Identity returns the stored identity, or nil in an empty folder.
func (d *Disk) Identity() *sqraft.IdentityRecord { return d.identity }

// HardState returns the hard state that was appended last, or nil.
func (d *Disk) HardState() *sqraft.HardState { return d.hardState }

// Snapshot returns the snapshot found when the folder was opened, or nil.
func (d *Disk) Snapshot() *sqraft.Snapshot { return d.snapshot }

// Entries returns the entries after the snapshot that were found when the folder
// was opened.
func (d *Disk) Entries() []*sqraft.Entry { return d.entries }

// DroppedBytes returns the size in bytes of the incomplete last record that Open
// dropped.
func (d *Disk) DroppedBytes() int { return d.droppedBytes }

// Syncs returns the number of syncs of segments since the folder was opened.
func (d *Disk) Syncs() uint64 { return d.syncs }

// ReleaseLoaded frees the memory of the snapshot and the entries that Open read.
func (d *Disk) ReleaseLoaded() { d.snapshot, d.entries = nil, nil }

// Close closes the files and unlocks the folder.
func (d *Disk) Close() {
	if d.activeFile != nil {
		_ = d.activeFile.Close()
	}
	if d.lock != nil {
		d.lock.Close()
	}
}

func (d *Disk) path(file string) string { return filepath.Join(d.cfg.Folder, file) }

func numberedName(prefix string, n uint64) string { return fmt.Sprintf("%s%016x", prefix, n) }
