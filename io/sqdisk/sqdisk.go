// Package sqdisk keeps the consensus' state in one folder: an append-only log in
// segments, snapshots and the identity. Files last only once they are synced.
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
	temporary      = ".tmp"
	// defaultSegmentBytes is where a new segment begins.
	defaultSegmentBytes = 4 << 20
)

// Config configures a Disk.
type Config struct {
	Folder string
	// Files, when set, stands for the folder.
	FS FS
	// SegmentBytes is where a new segment begins; 0 means the default.
	SegmentBytes int
}

// Disk is an open folder. It is not safe for concurrent use.
type Disk struct {
	cfg      Config
	files    FS
	lock     *os.File
	identity *sqraft.IdentityRecord
	snapshot *sqraft.Snapshot
	hard     *sqraft.HardState
	entries  []*sqraft.Entry
	cutBytes int
	// base is the index of the last mark.
	base     uint64
	segments []*segment
	file     File
	syncs    uint64
	failed   error
}

// segment is one file of the log.
type segment struct {
	name   string
	number uint64
	bytes  int
	// highest is the highest index of its entries.
	highest uint64
}

func (s *segment) note(index uint64) { s.highest = max(s.highest, index) }

// Open opens the folder and reads it whole. A last record that a crash cut off
// is dropped. Errors are of the kinds DamagedFile, with the file and the byte,
// and DiskFailed.
func Open(cfg Config) (*Disk, error) {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	d := &Disk{cfg: cfg, files: cfg.FS}
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
	if d.files != nil {
		return nil
	}
	files, err := newOSFiles(d.cfg.Folder)
	if err != nil {
		return d.unreadable("", err)
	}
	d.files = files
	d.lock, err = files.lock(lockFile)
	if err != nil {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.DiskFailed, Detail: "cannot lock the folder",
			Advice: "is another process running on it?",
			Place:  sqerror.Place{File: d.place(lockFile)}, Cause: err,
		})
	}
	return nil
}

func (d *Disk) load() error {
	names, err := d.files.List()
	if err != nil {
		return d.unreadable("", err)
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
	empty := d.snapshot == nil && d.hard.GetTerm() == 0 && len(d.entries) == 0
	if d.identity == nil && !empty {
		return d.damaged(identityFile, 0, "the identity is missing but there is a log")
	}
	return nil
}

func (d *Disk) loadIdentity(names []string) error {
	if !slices.Contains(names, identityFile) {
		return nil
	}
	record := &sqraft.IdentityRecord{}
	if err := d.readWhole(identityFile, record); err != nil {
		return err
	}
	d.identity = record
	return nil
}

// loadSnapshot reads the newest snapshot and drops files that a crash left.
func (d *Disk) loadSnapshot(names []string) error {
	var newest string
	for _, name := range names {
		if strings.HasSuffix(name, temporary) {
			if err := d.files.Remove(name); err != nil {
				return d.fail(name, err)
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
	if err := d.readWhole(newest, s); err != nil {
		return err
	}
	d.snapshot = s
	return nil
}

// readWhole reads a file of exactly one frame.
func (d *Disk) readWhole(name string, m proto.Message) error {
	data, err := d.files.Read(name)
	if err != nil {
		return d.unreadable(name, err)
	}
	payload, size, state := decodeFrame(data)
	if state != frameGood || size != len(data) {
		return d.damaged(name, 0, "the file fails its checksum")
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return d.damaged(name, 0, "the file cannot be decoded")
	}
	return nil
}

// Identity returns the identity file, or nil in an empty folder.
func (d *Disk) Identity() *sqraft.IdentityRecord { return d.identity }

// HardState returns what was last appended when the folder was opened.
func (d *Disk) HardState() *sqraft.HardState { return d.hard }

// Snapshot returns the snapshot found when the folder was opened, or nil.
func (d *Disk) Snapshot() *sqraft.Snapshot { return d.snapshot }

// Entries returns the entries after the snapshot when the folder was opened.
func (d *Disk) Entries() []*sqraft.Entry { return d.entries }

// DroppedBytes returns how many bytes of an unfinished last record were dropped.
func (d *Disk) DroppedBytes() int { return d.cutBytes }

// Syncs returns how often a log file was synced since the folder was opened.
func (d *Disk) Syncs() uint64 { return d.syncs }

// ReleaseLoaded lets what was read on opening be collected.
func (d *Disk) ReleaseLoaded() { d.snapshot, d.entries = nil, nil }

// Close closes the files and lets other processes open the folder.
func (d *Disk) Close() {
	if d.file != nil {
		_ = d.file.Close()
	}
	if d.lock != nil {
		d.lock.Close()
	}
}

func (d *Disk) place(file string) string { return filepath.Join(d.cfg.Folder, file) }

func numbered(prefix string, n uint64) string { return fmt.Sprintf("%s%016x", prefix, n) }
